package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/admission"
)

// yieldPause is how long a request that waits for a slot lets more urgent ones go first when one may have become free.
const yieldPause = 2 * time.Millisecond

// waiting counts the requests of this VM that wait for slots, by urgency. The zero value counts none.
type waiting struct {
	mu     sync.Mutex
	counts map[admission.Pool]map[int]int
}

// add changes the number of requests of a pool and an urgency that wait.
func (w *waiting) add(of admission.Pool, urgency, change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts == nil {
		w.counts = make(map[admission.Pool]map[int]int)
	}
	if w.counts[of] == nil {
		w.counts[of] = make(map[int]int)
	}
	if w.counts[of][urgency] += change; w.counts[of][urgency] == 0 {
		delete(w.counts[of], urgency)
	}
	if len(w.counts[of]) == 0 {
		delete(w.counts, of)
	}
}

// moreUrgent reports whether a request of a pool waits that is more urgent.
func (w *waiting) moreUrgent(of admission.Pool, urgency int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.counts[of] {
		if other < urgency {
			return true
		}
	}
	return false
}

// awaitSlot returns when the request may try again to get a slot: those that are more urgent first. From its first call, the
// request counts as waiting until endWait.
func (j *job) awaitSlot(ctx context.Context, freed <-chan struct{}) {
	j.waitingFor = waitSlot
	if j.core.options.Admission == nil {
		awaitFreed(ctx, freed)
		return
	}
	if !j.waits {
		j.waits = true
		j.core.waiting.add(j.pool(), j.urgency, 1)
	}
	awaitFreed(ctx, freed)
	if !j.core.waiting.moreUrgent(j.pool(), j.urgency) {
		return
	}
	timer := time.NewTimer(yieldPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// endWait ends the wait for a slot, if the request has waited for one.
func (j *job) endWait() {
	if j.waits {
		j.waits = false
		j.core.waiting.add(j.pool(), j.urgency, -1)
	}
}
