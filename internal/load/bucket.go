package load

import (
	"sync"
	"time"
)

// bucket is the ideal token bucket of one team: a single bucket for the whole
// system. A request that it would have admitted and the system refused was
// refused inside the rate.
type bucket struct {
	rate  float64
	burst float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func newBucket(rate, burst int64, now time.Time) *bucket {
	return &bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
}

// admit reports whether the bucket admits a request of the given cost, and
// charges the cost if it does. A bucket without a rate admits every request.
func (b *bucket) admit(cost int64, now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if float64(cost) > b.tokens {
		return false
	}
	b.tokens -= float64(cost)
	return true
}

// refund returns the tokens that an admitted request did not use.
func (b *bucket) refund(tokens int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.burst, b.tokens+float64(tokens))
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
		b.refilledAt = now
	}
}
