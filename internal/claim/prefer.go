package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Preferred returns the VM that should write a shard, by rendezvous hashing, or ""
// if there is none. VMs that see different fleets may disagree; that costs conflicts
// and nothing else.
func Preferred(shard int, vms []string) string {
	best, top := "", uint64(0)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(shard))
	for _, vm := range vms {
		d := xxhash.New()
		_, _ = d.Write(seed[:])
		_, _ = d.WriteString(vm)
		if score := d.Sum64(); best == "" || score > top {
			best, top = vm, score
		}
	}
	return best
}
