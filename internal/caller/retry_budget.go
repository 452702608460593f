package caller

import (
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

// retryBudget is the retry budget that all requests of a VM share.
type retryBudget struct {
	mu     sync.Mutex
	budget *route.Budget
}

// allow reports whether a request may be sent to another upstream after it failed at
// the given number of upstreams. Without a shared budget, every request would be sent
// several times just when the upstreams fail for all of them.
func (b *retryBudget) allow(failed int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if failed > 0 {
		return b.budget.Withdraw(time.Now())
	}
	b.budget.Deposit(time.Now())
	return true
}
