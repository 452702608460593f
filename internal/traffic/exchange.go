package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/reach"
)

// exchangeState says whether the request of an exchange has been written, so that one that has not can be given up without
// any doubt that it was not run.
type exchangeState struct {
	mu               sync.Mutex
	written, givenUp bool
}

// write records that the request is about to be written. It returns false if the exchange has been given up.
func (s *exchangeState) write() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = !s.givenUp
	return s.written
}

// giveUp gives the exchange up if its request has not been written, or if evenWritten is set. It reports whether it did.
func (s *exchangeState) giveUp(evenWritten bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givenUp = s.givenUp || !s.written || evenWritten
	return s.givenUp
}

// beginExchange records that an exchange begins. cancel is called if its upstream is not reached any more and the request
// may be sent again.
func (j *job) beginExchange(choice *assign.Choice, cancel context.CancelFunc) *reach.Exchange {
	state := &exchangeState{}
	j.exchange = state
	mayRunAgain := j.route.Repeatable() && j.possibleRuns+1 < j.route.Attempts
	giveUp := func() {
		if state.giveUp(mayRunAgain) {
			cancel()
		}
	}
	return j.core.options.Reach.Begin(j.service, choice.Expected, giveUp, time.Now())
}
