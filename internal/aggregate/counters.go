package aggregate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Counters adds up counters that VMs have kept since they started. A VM that starts
// again begins at zero; the sum goes on. It is not safe for concurrent use.
type Counters[V Value[V]] struct {
	// started is when this VM started; reports of younger VMs count from zero.
	started int64
	sums    sums[V]
	own     map[string]V
	sources map[string]*source[V]
}

type source[V any] struct {
	incarnation int64
	// near sources are of the own failure domain.
	near  bool
	heard time.Time
	last  map[string]V
	sum   map[string]V
}

// NewCounters returns counters of a VM with the given incarnation.
func NewCounters[V Value[V]](started int64, version *Version) *Counters[V] {
	return &Counters[V]{started: started, sums: newSums[V](version), own: make(map[string]V), sources: make(map[string]*source[V])}
}

// gap is how long a source may be away and still be added up without a break. Longer,
// and it has reported through another VM, whose sums have reached the others: what it
// counted meanwhile would count twice.
const gap = 1500 * time.Millisecond

// SetOwn takes what this VM has counted since its start.
func (c *Counters[V]) SetOwn(totals map[string]V) {
	for name, total := range totals {
		c.sums.add(topology.ScopeOwn, name, total.Sub(c.own[name]))
		c.own[name] = total
	}
}

// Take takes what a VM has counted since the start that its incarnation names. Names
// that are missing have not changed.
func (c *Counters[V]) Take(vm string, incarnation int64, near bool, totals map[string]V, now time.Time) {
	s := c.sources[vm]
	if s == nil {
		s = &source[V]{near: near, sum: make(map[string]V)}
		c.sources[vm] = s
	}
	if s.incarnation != incarnation {
		first := s.incarnation == 0
		s.incarnation, s.last = incarnation, make(map[string]V)
		if first && (incarnation < c.started || !near) {
			// What it counted before this VM heard of it is not this VM's to pass on. A
			// source that is not near reports for others, whose age its own does not tell.
			maps.Copy(s.last, totals)
		}
	}
	if away := now.Sub(s.heard); !s.heard.IsZero() && away > gap {
		maps.Copy(s.last, totals)
	}
	s.heard = now
	for name, total := range totals {
		difference := total.Sub(s.last[name])
		s.sum[name] = s.sum[name].Add(difference)
		c.sums.add(narrowest(s.near), name, difference)
		s.last[name] = total
	}
}

// Since returns the sums of a scope that have changed since a number, without what one VM has
// counted; since zero, all of them.
func (c *Counters[V]) Since(scope topology.Scope, number uint64, except string) map[string]V {
	var part map[string]V
	if s := c.sources[except]; s != nil && narrowest(s.near) <= scope {
		part = s.sum
	}
	return c.sums.since(scope, number, part)
}
