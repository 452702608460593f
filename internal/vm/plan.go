package vm

import (
	"context"
	"time"
)

// itemRate is the demand for an item.
type itemRate struct {
	perSecond float64
	at        time.Time
}

// loadBudget is what the weight store allows.
type loadBudget struct{}

// heardDemand takes the tokens that a VM was asked for by item since its start.
func (l *planner) heardDemand(vm string, incarnation int64, tokens map[string]int64, now time.Time) {
	if len(tokens) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.demand[vm]
	if d == nil || d.incarnation != incarnation {
		d = &reportedDemand{incarnation: incarnation, tokens: make(map[string]int64)}
		l.demand[vm] = d
	}
	for item, total := range tokens {
		if total > d.tokens[item] {
			l.used[item] = now
			l.count(item, total-d.tokens[item], now)
		}
		d.tokens[item] = total
	}
}

// rateMemory is the time over which demand is averaged.
const rateMemory = 4 * time.Second

func (l *planner) count(item string, tokens int64, now time.Time) {
	r := l.rates[item]
	if r == nil {
		r = &itemRate{at: now}
		l.rates[item] = r
	}
	r.decay(now)
	r.perSecond += float64(tokens) / rateMemory.Seconds()
}

func (r *itemRate) decay(now time.Time) {
	passed := now.Sub(r.at).Seconds() / rateMemory.Seconds()
	r.perSecond /= 1 + passed
	r.at = now
}

// plan decides about models.
func (l *planner) plan(context.Context) {}
