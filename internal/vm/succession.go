package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// restMargin is added to the time since an order that a predecessor tells of.
const restMargin = 100 * time.Millisecond

// orderTimes knows when this VM sent orders in its term.
type orderTimes struct {
	token int64
	// last is when an order to an engine was last under way, sending how many are.
	last    map[string]time.Time
	sending int
}

// begin notes that an order is about to go out. It comes before the question for authority:
// asked in between, a term that ends would seem to have sent nothing more. The planner's
// lock must be held, as for sent and done.
func (o *orderTimes) begin() { o.sending++ }

// sent notes to which engine an order of a term is under way.
func (o *orderTimes) sent(token int64, engine string, now time.Time) {
	if o.token != token {
		o.token, o.last = token, make(map[string]time.Time)
	}
	o.last[engine] = now
}

// done notes that the order was answered or given up.
func (o *orderTimes) done() { o.sending-- }

// endedTerm is what this VM tells its successor, nil if there is nothing to tell. A
// successor that knows nothing of its predecessor's last orders has to wait for as long as
// two leaders' orders to an engine must be apart, and no model moves meanwhile.
func (l *planner) endedTerm(now time.Time) *peerpb.EndedTerm {
	ended, ok := l.p.candidate.Ended()
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ordered.token != ended.Token || l.ordered.sending > 0 {
		return nil
	}
	out := &peerpb.EndedTerm{Token: ended.Token, OrderAgeMs: make(map[string]int64)}
	for engine, at := range l.ordered.last {
		if age := now.Sub(at); age < l.p.settings.Bounds.OrderLease {
			out.OrderAgeMs[engine] = age.Milliseconds()
		}
	}
	return out
}

// hearEnded takes what the predecessor tells. Engines that it sent nothing lately get orders
// at once, the others when the time between two leaders' orders has passed.
func (l *planner) hearEnded(ended *peerpb.EndedTerm, now time.Time) {
	if ended == nil {
		return
	}
	l.mu.Lock()
	for engine, age := range ended.OrderAgeMs {
		rest := l.p.settings.Bounds.OrderLease - time.Duration(age)*time.Millisecond + restMargin
		l.restUntil[engine] = now.Add(rest)
	}
	l.mu.Unlock()
	l.p.candidate.Settled(ended.Token)
}
