package route

import "time"

const (
	// budgetRatio is the number of retries that each first attempt adds to the budget.
	budgetRatio = 0.2
	// budgetMax is the largest number of retries that the budget can accumulate.
	budgetMax = 20
	// budgetRefillPerSecond is the number of retries per second added regardless of traffic,
	// so that a quiet VM can retry too.
	budgetRefillPerSecond = 1
)

// Budget is a retry budget: it limits retries to a fraction of the first attempts.
// Without it, retries would multiply the load exactly when the upstreams fail for
// every caller. It is not safe for concurrent use without a lock.
type Budget struct {
	balance    float64
	refilledAt time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{balance: budgetMax, refilledAt: now}
}

// Deposit records a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.balance = min(budgetMax, b.balance+budgetRatio)
}

// Withdraw reports whether a retry may be made. If so, it is subtracted from the
// budget.
func (b *Budget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.balance = min(budgetMax, b.balance+now.Sub(b.refilledAt).Seconds()*budgetRefillPerSecond)
		b.refilledAt = now
	}
}
