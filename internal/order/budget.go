package order

import (
	"strconv"
	"strings"
	"time"
)

// budget is the number of loads that the weight store's limits still allow in one step.
type budget struct {
	concurrent int
	starts     int
}

// allows reports whether one more load may start.
func (u *budget) allows() bool { return u.concurrent > 0 && u.starts > 0 }

// consume counts one more load.
func (u *budget) consume() {
	u.concurrent--
	u.starts--
}

// defaultConcurrentLoads and defaultLoadsPerSecond apply where the document sets no
// limit.
const (
	defaultConcurrentLoads = 1
	defaultLoadsPerSecond  = 1
)

// budget counts the loads that are recorded in the accounts, by whichever leader. A
// load order that was never answered may start at any time, so it counts as a start
// until a whole window after its first answer. Thus no window of the weight store's
// clock contains more starts than the limit, however long messages are delayed.
func (b *Reconciler) budget(now time.Time) budget {
	window, limit := b.startWindow()
	if now.Sub(b.inControlSince) < window {
		// The last starts of the previous leader are unknown until a whole window
		// has passed.
		return budget{}
	}
	out := budget{concurrent: b.options.ConcurrentLoads, starts: limit}
	if out.concurrent <= 0 {
		out.concurrent = defaultConcurrentLoads
	}
	for id, at := range b.firstAnswered {
		if now.Sub(at) <= window {
			out.starts--
			continue
		}
		if !b.isOutstanding(id) {
			delete(b.firstAnswered, id)
		}
	}
	for _, name := range b.engineNames {
		state := b.engines[name]
		if b.loadsTimedOut(state, now) {
			continue
		}
		for _, e := range state.draft.Entries {
			b.chargeLoad(&out, e)
		}
		if state.pending != nil && !b.faults.countOwnLoadsOnly {
			b.chargePending(&out, state)
		}
	}
	return out
}

// startWindow returns a time window and the number of loads that may start within it.
func (b *Reconciler) startWindow() (time.Duration, int) {
	rate := b.options.LoadsPerSecond
	if rate <= 0 {
		rate = defaultLoadsPerSecond
	}
	if rate < 1 {
		return time.Duration(float64(time.Second) / rate), 1
	}
	return time.Second, int(rate)
}

// chargeLoad deducts the entry's load order from the budget, if it has one.
func (b *Reconciler) chargeLoad(out *budget, e Entry) {
	if e.Load == "" {
		return
	}
	if b.faults.countOwnLoadsOnly && !b.isOwnOrder(e.Load) {
		return
	}
	out.concurrent--
	if _, answered := b.firstAnswered[e.Load]; !answered {
		out.starts--
	}
}

// chargePending deducts the load orders of a write whose outcome is not known.
func (b *Reconciler) chargePending(out *budget, state *engineState) {
	for _, e := range state.proposed.Entries {
		if at := state.draft.Find(e.Item); at < 0 || state.draft.Entries[at].Load != e.Load {
			b.chargeLoad(out, e)
		}
	}
}

// loadsTimedOut reports whether an engine has sent no report for longer than
// LoadTimeout, so that no load can still run there. If its loads were counted for ever,
// the loss of a failure domain would block all loads, including those that replace its
// copies.
func (b *Reconciler) loadsTimedOut(state *engineState, now time.Time) bool {
	if state.spec != nil && b.hasFreshReport(state, now) {
		return false
	}
	last := state.lastReportAt
	if last.Before(b.inControlSince) {
		last = b.inControlSince
	}
	return now.Sub(last) > b.options.LoadTimeout
}

// isOutstanding reports whether an account has a load order with this ID and without a
// definite answer.
func (b *Reconciler) isOutstanding(id string) bool {
	for _, state := range b.engines {
		for _, e := range state.account.Entries {
			if e.Load == id {
				return true
			}
		}
	}
	return false
}

// isOwnOrder reports whether this leader issued the order.
func (b *Reconciler) isOwnOrder(id string) bool {
	return strings.HasPrefix(id, strconv.FormatInt(b.options.Fence, 10)+"-")
}
