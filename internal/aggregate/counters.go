package aggregate

import (
	"maps"
	"time"
)

// Counters adds up counters that VMs have kept since they started. A VM that starts
// again begins at zero; the sum goes on. It is not safe for concurrent use.
type Counters struct {
	// started is when this VM started; reports of younger VMs count from zero.
	started int64
	sources map[string]*source
}

type source struct {
	incarnation int64
	// near sources are of the own failure domain.
	near  bool
	heard time.Time
	last  map[string]float64
	sum   map[string]float64
}

// NewCounters returns counters of a VM with the given incarnation.
func NewCounters(started int64) *Counters {
	return &Counters{started: started, sources: make(map[string]*source)}
}

// gap is how long a source may be away and still be added up without a break. Longer,
// and it has reported through another VM, whose sums have reached the others: what it
// counted meanwhile would count twice.
const gap = 1500 * time.Millisecond

// Take takes what a VM has counted since the start that its incarnation names. Names
// that are missing have not changed.
func (c *Counters) Take(vm string, incarnation int64, near bool, totals map[string]float64, now time.Time) {
	s := c.sources[vm]
	if s == nil {
		s = &source{sum: make(map[string]float64)}
		c.sources[vm] = s
	}
	if s.incarnation != incarnation {
		first := s.incarnation == 0
		s.incarnation, s.last = incarnation, make(map[string]float64)
		if first && (incarnation < c.started || !near) {
			// What it counted before this VM heard of it is not this VM's to pass on. A
			// source that is not near reports for others, whose age its own does not tell.
			for name, total := range totals {
				s.last[name] = total
			}
		}
	}
	s.near = near
	if away := now.Sub(s.heard); !s.heard.IsZero() && away > gap {
		maps.Copy(s.last, totals)
	}
	s.heard = now
	for name, total := range totals {
		s.sum[name] += total - s.last[name]
		s.last[name] = total
	}
}

// Sum adds the own counters to those of the sources: only near ones, or all but one.
func (c *Counters) Sum(own map[string]float64, nearOnly bool, except string) map[string]float64 {
	out := make(map[string]float64, len(own))
	for name, v := range own {
		out[name] = v
	}
	for vm, s := range c.sources {
		if vm == except || (nearOnly && !s.near) {
			continue
		}
		for name, v := range s.sum {
			out[name] += v
		}
	}
	return out
}
