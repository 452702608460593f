package claim

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Preferred returns the VM that should write a shard, chosen by rendezvous hashing, or
// "" if vms is empty. VMs with different member lists may choose differently; the only
// cost is more compare-and-swap conflicts.
func Preferred(shard int, vms []string) string {
	best, bestScore := "", uint64(0)
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(shard))
	for _, vm := range vms {
		hash := xxhash.New()
		_, _ = hash.Write(seed[:])
		_, _ = hash.WriteString(vm)
		if score := hash.Sum64(); best == "" || score > bestScore {
			best, bestScore = vm, score
		}
	}
	return best
}
