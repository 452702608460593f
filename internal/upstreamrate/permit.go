package upstreamrate

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/warmup"
)

const (
	// minRate is the rate in requests per second at which permits are issued at least. Only an answer
	// shows that a limit has ended, also a limit of zero.
	minRate = 0.2
	// burstTime is the time for which unused permits are kept.
	burstTime = time.Second
	// reservedPermits is the number of permits that only requests get which no other upstream can take.
	reservedPermits = 1.0
)

// Decision is the answer to a request for a permit.
type Decision struct {
	Granted bool
	// RetryAfter is the time until a permit may be available, if none was granted.
	RetryAfter time.Duration
}

// bucket is the token bucket from which permits are issued. It starts empty: the VM that issued the
// permits before may just have issued some.
type bucket struct {
	level      float64
	refilledAt time.Time
}

func (b *bucket) refill(perSecond float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		capacity := reservedPermits + max(1, perSecond*burstTime.Seconds())
		b.level = min(capacity, b.level+perSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// Issue issues a permit to send one request to an upstream, on the VM that issues its permits. needed
// means that no other upstream can take the request.
func (t *Table) Issue(k Key, needed bool, now time.Time) Decision {
	e := t.entries[k]
	if e == nil || !e.limit.Rated() {
		return Decision{Granted: true}
	}
	rate := max(minRate, e.limit.PerSecond)
	e.permits.refill(rate, now)
	required := 1.0
	if !needed {
		required += reservedPermits
	}
	if missing := required - e.permits.level; missing > 0 {
		return Decision{RetryAfter: time.Duration(missing / rate * float64(time.Second))}
	}
	e.permits.level--
	return Decision{Granted: true}
}

// RecordDenial records that no permit for an upstream is available before a time: for any request, or
// only for those that other upstreams can take.
func (t *Table) RecordDenial(k Key, needed bool, until time.Time) {
	d := t.denials[k]
	if needed {
		d.neededAt = until
	}
	if until.After(d.spareAt) {
		d.spareAt = until
	}
	t.denials[k] = d
}

// NextPermits returns from when a permit may be available for a request that no other upstream can
// take, and for any other request.
func (t *Table) NextPermits(k Key) (needed, other time.Time) {
	d := t.denials[k]
	return d.neededAt, d.spareAt
}

// Issuer returns the VM that issues the permits of an upstream among the given VMs, "" if there are
// none. VMs that join or leave change the issuers of few upstreams.
func Issuer(instance string, vms []string) string {
	issuer, highest := "", uint64(0)
	for _, vm := range vms {
		weight := warmup.Weight(instance, vm)
		if issuer == "" || weight > highest || (weight == highest && vm < issuer) {
			issuer, highest = vm, weight
		}
	}
	return issuer
}
