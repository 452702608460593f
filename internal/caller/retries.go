package caller

import (
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

// retries is the budget that all requests of a VM share.
type retries struct {
	mu     sync.Mutex
	budget *route.Budget
}

// allow reports whether a request that a number of upstreams have failed may be
// sent to one more. When upstreams fail for everybody, each request would else be
// sent several times just then.
func (r *retries) allow(failed int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed > 0 {
		return r.budget.Withdraw(time.Now())
	}
	r.budget.Deposit(time.Now())
	return true
}
