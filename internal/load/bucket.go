package load

import (
	"sync"
	"time"
)

// bucket is the ideal single token bucket of one team. What it would have
// admitted and the system refused was refused inside the rate.
type bucket struct {
	rate  float64
	burst float64

	mu    sync.Mutex
	level float64
	at    time.Time
}

func newBucket(rate, burst int64, now time.Time) *bucket {
	return &bucket{rate: float64(rate), burst: float64(burst), level: float64(burst), at: now}
}

// take says whether the bucket admits a request, and charges it if so.
func (b *bucket) take(cost int64, now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if float64(cost) > b.level {
		return false
	}
	b.level -= float64(cost)
	return true
}

// refund gives back what an admitted request did not use.
func (b *bucket) refund(tokens int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = min(b.burst, b.level+float64(tokens))
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.at = now
	}
}
