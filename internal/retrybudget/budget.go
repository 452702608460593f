// Package retrybudget bounds how often requests are sent again. Repeats are what
// turns a short overload into a long one: every failing upstream would double the
// work of the others.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// safety is the part of the allowance that is used. Each VM knows the number of
	// VMs only with a delay, and counts by seconds.
	safety = 0.75
	// step is the width of a counting interval.
	step = time.Second
)

// Limits bound the repeats of one service in a window over all VMs:
// requests x Ratio + Slack.
type Limits struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Budget is one VM's share of the repeats. It is safe for concurrent use.
type Budget struct {
	limits Limits
	start  time.Time
	mu     sync.Mutex
	counts map[string]*window
}

type window struct {
	slots []slot
}

type slot struct {
	at                int64
	requests, repeats float64
}

// New returns a budget that nothing has been taken from.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, start: now, counts: make(map[string]*window)}
}

// SetLimits takes new limits.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).current(b.second(now)).requests++
}

// Take reports whether a request for the service may be sent once more, and counts
// it if so. vms is the number of VMs that share the budget.
func (b *Budget) Take(service string, vms int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := w.sum(b.second(now), int64(b.limits.Window/step)+1)
	allowed := safety * (b.limits.Ratio*requests + b.limits.Slack/float64(max(1, vms)))
	if repeats+1 > allowed {
		return false
	}
	w.current(b.second(now)).repeats++
	return true
}

func (b *Budget) window(service string) *window {
	w := b.counts[service]
	if w == nil {
		w = &window{}
		b.counts[service] = w
	}
	return w
}

// second numbers the counting intervals by the monotonic clock.
func (b *Budget) second(now time.Time) int64 { return int64(now.Sub(b.start) / step) }

func (w *window) current(at int64) *slot {
	if n := len(w.slots); n > 0 && w.slots[n-1].at == at {
		return &w.slots[n-1]
	}
	w.slots = append(w.slots, slot{at: at})
	return &w.slots[len(w.slots)-1]
}

// sum counts the window that ends with an interval and drops what is older.
func (w *window) sum(at, intervals int64) (requests, repeats float64) {
	for len(w.slots) > 0 && w.slots[0].at < at-intervals {
		w.slots = w.slots[1:]
	}
	for _, s := range w.slots {
		requests += s.requests
		repeats += s.repeats
	}
	return requests, repeats
}
