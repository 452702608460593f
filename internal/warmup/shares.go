package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// usedShare is the part of an upstream's rate that is divided. Requests are delayed on their way, so
// that two of a holder may arrive closer together than they were sent: with this part, all holders
// together still stay within one and a half times the rate.
const usedShare = 2.0 / 3

// Shares is the division of a cold upstream's rate.
type Shares struct {
	// Holders is the number of VMs that may send requests to the upstream.
	Holders int
	// Interval is the shortest time between two requests of one holder.
	Interval time.Duration
}

// Divide divides a rate in requests per second among the VMs of a fleet. There are as many holders
// as the upstream bears requests in a second, so that all of them may send at the same moment.
func Divide(perSecond float64, vms int) Shares {
	if perSecond <= 0 {
		return Shares{}
	}
	holders := max(1, min(vms, int(perSecond)))
	return Shares{Holders: holders, Interval: time.Duration(float64(holders) / (usedShare * perSecond) * float64(time.Second))}
}

// Holds reports whether the VM self holds a share of an upstream; others are the other VMs that it
// knows.
func (s Shares) Holds(upstream, self string, others []string) bool {
	own := Weight(upstream, self)
	ahead := 0
	for _, vm := range others {
		if Weight(upstream, vm) > own {
			ahead++
		}
	}
	return ahead < s.Holders
}

// Weight ranks a VM for an upstream: the VMs with the highest weights come first.
func Weight(upstream, vm string) uint64 { return xxhash.Sum64String(upstream + "\x00" + vm) }
