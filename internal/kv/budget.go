package kv

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget bounds the calls of one process with a token bucket. The platform counts
// each call, so a flood of status reads must not use up the tokens that claims
// and withdrawals need.
type Budget struct {
	// CallsPerSecond is the refill rate of the bucket. The default is 200.
	CallsPerSecond float64
	// Burst is the capacity of the bucket, the number of calls that may be made at
	// once. The default is 100.
	Burst int
}

// Defaults of Budget.
const (
	DefaultCallsPerSecond = 200
	DefaultCallBurst      = 100
)

// Shares of the burst that calls of a priority leave for higher priorities.
const (
	statusReserve        = 0.5
	configurationReserve = 0.25
)

type budget struct {
	mu            sync.Mutex
	limiter       *rate.Limiter
	tokenInterval time.Duration
}

func newBudget(b Budget) *budget {
	if b.CallsPerSecond <= 0 {
		b.CallsPerSecond = DefaultCallsPerSecond
	}
	if b.Burst <= 0 {
		b.Burst = DefaultCallBurst
	}
	return &budget{
		limiter:       rate.NewLimiter(rate.Limit(b.CallsPerSecond), b.Burst),
		tokenInterval: time.Duration(float64(time.Second) / b.CallsPerSecond),
	}
}

func (b *budget) reservedTokens(p Priority) float64 {
	burst := float64(b.limiter.Burst())
	switch p {
	case PriorityStatus:
		return burst * statusReserve
	case PriorityClaim:
		return 0
	default:
		return burst * configurationReserve
	}
}

// tryAcquire takes a token and returns zero if a call of priority p may be made
// now. Otherwise it returns how long to wait before trying again.
func (b *budget) tryAcquire(now time.Time, p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := b.reservedTokens(p) + 1 - b.limiter.TokensAt(now)
	if missing > 0 {
		return max(time.Duration(missing*float64(b.tokenInterval)), time.Millisecond)
	}
	b.limiter.AllowN(now, 1)
	return 0
}

// wait blocks until the call may be made, or returns a BudgetError once ctx
// ends. A call waits while it would leave fewer tokens than are reserved for
// higher priorities.
func (b *budget) wait(ctx context.Context, p Priority) error {
	for {
		pause := b.tryAcquire(time.Now(), p)
		if pause == 0 {
			return nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &BudgetError{Priority: p}
		}
	}
}
