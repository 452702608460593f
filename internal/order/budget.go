package order

import (
	"strconv"
	"strings"
	"time"
)

// budget is what the weight store still allows in one step.
type budget struct {
	concurrent int
	starts     int
}

// allows says whether one more load may start.
func (u *budget) allows() bool { return u.concurrent > 0 && u.starts > 0 }

func (u *budget) take() {
	u.concurrent--
	u.starts--
}

// defaultConcurrentLoads and defaultLoadsPerSecond hold where the document sets
// no limit.
const (
	defaultConcurrentLoads = 1
	defaultLoadsPerSecond  = 1
)

// budget counts what is recorded in the accounts, whoever recorded it. A load
// order without any answer may start at any time, so it counts as a start until
// a whole window after its first answer: then no window of the store's clock
// can hold more starts than the limit, however long messages take.
func (b *Book) budget(now time.Time) budget {
	window, limit := b.startWindow()
	if now.Sub(b.inControl) < window {
		// The previous leader's last starts are not known.
		return budget{}
	}
	out := budget{concurrent: b.options.ConcurrentLoads, starts: limit}
	if out.concurrent <= 0 {
		out.concurrent = defaultConcurrentLoads
	}
	for id, at := range b.acked {
		if now.Sub(at) <= window {
			out.starts--
			continue
		}
		if !b.outstanding(id) {
			delete(b.acked, id)
		}
	}
	for _, name := range b.names {
		l := b.lines[name]
		if b.silent(l, now) {
			continue
		}
		for _, e := range l.draft.Entries {
			b.charge(&out, e)
		}
		if l.pending != nil && !b.faults.countOwnLoadsOnly {
			b.chargePending(&out, l)
		}
	}
	return out
}

// startWindow returns the time in which limit loads may start.
func (b *Book) startWindow() (time.Duration, int) {
	rate := b.options.LoadsPerSecond
	if rate <= 0 {
		rate = defaultLoadsPerSecond
	}
	if rate < 1 {
		return time.Duration(float64(time.Second) / rate), 1
	}
	return time.Second, int(rate)
}

func (b *Book) charge(out *budget, e Entry) {
	if e.Load == "" {
		return
	}
	if b.faults.countOwnLoadsOnly && !b.own(e.Load) {
		return
	}
	out.concurrent--
	if _, answered := b.acked[e.Load]; !answered {
		out.starts--
	}
}

// chargePending charges the loads of a write whose outcome is not known.
func (b *Book) chargePending(out *budget, l *line) {
	for _, e := range l.proposed.Entries {
		if at := l.draft.Find(e.Item); at < 0 || l.draft.Entries[at].Load != e.Load {
			b.charge(out, e)
		}
	}
}

// silent says whether an engine has not answered for so long that no load can
// still run there. Counting its loads for ever would let a lost failure domain
// stop all loads, those that replace its copies included.
func (b *Book) silent(l *line, now time.Time) bool {
	if l.spec != nil && b.fresh(l, now) {
		return false
	}
	last := l.lastHeard
	if last.Before(b.inControl) {
		last = b.inControl
	}
	return now.Sub(last) > b.options.LoadTimeout
}

func (b *Book) outstanding(id string) bool {
	for _, l := range b.lines {
		for _, e := range l.account.Entries {
			if e.Load == id {
				return true
			}
		}
	}
	return false
}

// own says whether this leader made the order.
func (b *Book) own(id string) bool {
	return strings.HasPrefix(id, strconv.FormatInt(b.options.Fence, 10)+"-")
}
