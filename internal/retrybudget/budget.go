// Package retrybudget bounds how often requests are retried. Retries turn a short overload
// into a long one: without a bound, every failing upstream would double the load of the
// others.
package retrybudget

import (
	"sync"
	"time"
)

const (
	// safetyFactor is the part of the allowance that is used: each VM learns the number of
	// VMs only with a delay, and counts in whole seconds.
	safetyFactor = 0.75
	// startFactor takes the place of safetyFactor for the slack of a VM that has just started: what is left beside what
	// its predecessor may have spent in the same window.
	startFactor = 1 - safetyFactor
	// slotWidth is the width of a counting interval.
	slotWidth = time.Second
)

// Limits bound the retries of one service over all VMs: at most requests x Ratio + Slack in
// any Window.
type Limits struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Budget is one VM's share of the retries of all services. It is safe for concurrent use.
type Budget struct {
	limits  Limits
	start   time.Time
	mu      sync.Mutex
	windows map[string]*window
}

type window struct {
	slots []slot
}

type slot struct {
	index             int64
	requests, retries float64
}

// New returns a Budget with the limits l and no requests or retries counted. Counting
// intervals start at now.
func New(l Limits, now time.Time) *Budget {
	return &Budget{limits: l, start: now, windows: make(map[string]*window)}
}

// SetLimits replaces the limits. Counted requests and retries are kept.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// RecordRequest counts a request to the service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).current(b.slotIndex(now)).requests++
}

// AllowRetry reports whether a request to the service may be retried, and counts the retry if so.
// vms is the number of VMs that share the budget. A request that may not be retried ends with the failure of its last try.
func (b *Budget) AllowRetry(service string, vms int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := w.sum(b.slotIndex(now), int64(b.limits.Window/slotWidth)+1)
	allowed := safetyFactor*b.limits.Ratio*requests + b.slackFactor(now)*b.limits.Slack/float64(max(1, vms))
	if retries+1 > allowed {
		return false
	}
	w.current(b.slotIndex(now)).retries++
	return true
}

// slackFactor is the part of this VM's slack that may be used. A VM that starts does not know what was spent before: its part
// grows from nothing until it has run for a window. It must be called with the lock held.
func (b *Budget) slackFactor(now time.Time) float64 {
	age := now.Sub(b.start)
	if age >= b.limits.Window+slotWidth {
		return safetyFactor
	}
	return startFactor * min(1, age.Seconds()/b.limits.Window.Seconds())
}

func (b *Budget) window(service string) *window {
	w := b.windows[service]
	if w == nil {
		w = &window{}
		b.windows[service] = w
	}
	return w
}

// slotIndex returns the number of the counting interval that contains now, by the monotonic
// clock.
func (b *Budget) slotIndex(now time.Time) int64 { return int64(now.Sub(b.start) / slotWidth) }

func (w *window) current(index int64) *slot {
	if n := len(w.slots); n > 0 && w.slots[n-1].index == index {
		return &w.slots[n-1]
	}
	w.slots = append(w.slots, slot{index: index})
	return &w.slots[len(w.slots)-1]
}

// sum returns the requests and retries counted in the interval last and in the back intervals
// before it, and drops older slots.
func (w *window) sum(last, back int64) (requests, retries float64) {
	for len(w.slots) > 0 && w.slots[0].index < last-back {
		w.slots = w.slots[1:]
	}
	for _, s := range w.slots {
		requests += s.requests
		retries += s.retries
	}
	return requests, retries
}
