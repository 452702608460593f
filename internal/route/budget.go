package route

import "time"

const (
	// budgetShare is the number of retries that each first try pays for.
	budgetShare = 0.2
	// budgetMax is the largest number of retries that can be saved up.
	budgetMax = 20
	// budgetFill is how many retries a second are allowed whatever the traffic,
	// so that a quiet VM can retry too.
	budgetFill = 1
)

// Budget bounds retries to a share of the first tries. When upstreams fail for
// everybody, retries without a bound would multiply the load just then. It belongs
// to one goroutine, or stands under a lock.
type Budget struct {
	balance float64
	at      time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{balance: budgetMax, at: now}
}

// Deposit notes a first try.
func (b *Budget) Deposit(now time.Time) {
	b.fill(now)
	b.balance = min(budgetMax, b.balance+budgetShare)
}

// Withdraw reports whether a retry may be made, and takes it from the budget.
func (b *Budget) Withdraw(now time.Time) bool {
	b.fill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *Budget) fill(now time.Time) {
	if now.After(b.at) {
		b.balance = min(budgetMax, b.balance+now.Sub(b.at).Seconds()*budgetFill)
		b.at = now
	}
}
