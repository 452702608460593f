package quarantine

import (
	"maps"
	"slices"
	"time"
)

// This file bounds what is remembered, in time and in number.

// expireInterval is the least time between two searches for old records.
const expireInterval = time.Second

// expire forgets what is old, and the oldest beyond the bounds.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expireInterval && len(t.records) <= maxRequests && len(t.broken) <= maxRequests {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.records, func(_ Key, r *Record) bool { return now.Sub(r.lastEnd()) > t.lifetime(r) })
	maps.DeleteFunc(t.gone, func(_ string, at time.Time) bool { return now.Sub(at) > breakTime })
	maps.DeleteFunc(t.broken, func(_ brokenExchange, at time.Time) bool { return now.Sub(at) > breakTime })
	if len(t.records) > maxRequests {
		t.dropOldest(len(t.records) - maxRequests/2)
	}
	if len(t.broken) > maxRequests {
		clear(t.broken)
	}
	maps.DeleteFunc(t.trials, func(key Key, _ trial) bool { return t.records[key] == nil })
	mentioned := t.mentioned()
	maps.DeleteFunc(t.alive, func(incarnation string, _ time.Time) bool { return !mentioned[incarnation] })
	maps.DeleteFunc(t.endedUnder, func(incarnation string, _ int) bool { return !mentioned[incarnation] })
	t.inUse.Store(len(t.records)+len(t.broken) > 0)
}

// mentioned returns the incarnations that are recorded as ended or whose exchanges broke.
func (t *Table) mentioned() map[string]bool {
	out := make(map[string]bool)
	for b := range t.broken {
		out[b.incarnation] = true
	}
	for _, r := range t.records {
		for incarnation := range r.Ends {
			out[incarnation] = true
		}
	}
	return out
}

func (t *Table) lifetime(r *Record) time.Duration {
	switch n := t.count(r); {
	case r.Depth > 0 && n >= MaxPartEnds:
		return partMemory
	case r.Depth == 0 && n >= MaxEnds:
		return Duration
	}
	return suspicionTime
}

// dropOldest forgets n records: those with the fewest ends, and of these the oldest.
func (t *Table) dropOldest(n int) {
	records := slices.Collect(maps.Values(t.records))
	slices.SortFunc(records, func(a, b *Record) int {
		if x, y := t.count(a), t.count(b); x != y {
			return x - y
		}
		return a.lastEnd().Compare(b.lastEnd())
	})
	for _, r := range records[:n] {
		delete(t.records, r.Key)
	}
}
