package origins

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// VM is a VM that may remember origins.
type VM struct {
	Name, Domain string
}

// Keepers returns the VMs that remember the origin of a stream, in a fixed order: n of them, or all if there are fewer. They
// are chosen by rendezvous hashing, so that few streams get others when the set of VMs changes, and in different failure
// domains as long as there are any. Fewer keepers of a stream are the first ones of more.
func Keepers(s Stream, vms []VM, n int) []string {
	ranked := slices.Clone(vms)
	weights := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weights[vm.Name] = weight(s, vm.Name)
	}
	slices.SortFunc(ranked, func(a, b VM) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	inDomain := make(map[string]int)
	round := make(map[string]int, len(vms))
	for _, vm := range ranked {
		round[vm.Name] = inDomain[vm.Domain]
		inDomain[vm.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b VM) int { return cmp.Compare(round[a.Name], round[b.Name]) })
	out := make([]string, 0, n)
	for _, vm := range ranked[:min(n, len(ranked))] {
		out = append(out, vm.Name)
	}
	return out
}

func weight(s Stream, vm string) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(vm), uint64(s)))
}
