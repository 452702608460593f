package aggregate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// Counters sums counters that VMs keep since their start. A VM that restarts counts from
// zero, and the sum continues from its value before the restart. It is not safe for
// concurrent use.
type Counters[V Value[V]] struct {
	sums    sums[V]
	own     map[string]V
	sources map[string]*source[V]
}

type source[V any] struct {
	incarnation int64
	// covered is the scope of its reports.
	covered      topology.Scope
	lastReportAt time.Time
	// lastTotals holds the totals of the source's last report.
	lastTotals map[string]V
	// contributions holds the source's part of the sums, by the narrowest scope to which it was
	// added: a VM that was a hub may follow this one later, and the other way round.
	contributions map[topology.Scope]map[string]V
}

// NewCounters returns empty counters of a VM. Changes are numbered by version.
func NewCounters[V Value[V]](version *Version) *Counters[V] {
	return &Counters[V]{sums: newSums[V](version), own: make(map[string]V), sources: make(map[string]*source[V])}
}

const (
	// MaxReportGap is the longest time between two reports of a source of which the difference
	// is added to the sums. During a longer gap, the source is assumed to have reported to
	// another VM, whose sums have reached the other VMs, so adding the difference would count it
	// twice.
	MaxReportGap = 1500 * time.Millisecond
	// maxFirstReportAge is the longest time from the start of a VM to its first report here
	// for which that report counts from zero. The VM is then assumed to have reported to no
	// other VM before.
	maxFirstReportAge = 3 * time.Second
)

// CountsFromZero reports whether the first report of a VM counts from zero: what the VM has counted
// since its start, in nanoseconds since 1970, is then in no other VM's sums. A VM that becomes a hub
// gets the first reports of VMs that have long reported to another one. If it counted their totals,
// all that they ever admitted would be charged at once. The two clocks may differ by seconds: an error
// moves the counts of the VM's first moments only.
func CountsFromZero(incarnation int64, now time.Time) bool {
	return now.Sub(time.Unix(0, incarnation)) <= maxFirstReportAge
}

// SetOwn sets the totals that this VM has counted since its start. Names that are missing
// have not changed.
func (c *Counters[V]) SetOwn(totals map[string]V) {
	for name, total := range totals {
		c.sums.add(topology.ScopeOwn, name, total.Sub(c.own[name]))
		c.own[name] = total
	}
}

// Record records the totals of a scope that a VM has counted since the start of its incarnation.
// Names that are missing have not changed. follows is set if the VM follows this one, whose reports to
// other hubs then cover it.
func (c *Counters[V]) Record(vm string, incarnation int64, covered topology.Scope, follows bool, totals map[string]V, now time.Time) {
	s := c.sources[vm]
	if s == nil {
		s = &source[V]{covered: covered, contributions: make(map[topology.Scope]map[string]V)}
		c.sources[vm] = s
	}
	if s.incarnation != incarnation {
		first := s.incarnation == 0
		s.incarnation, s.lastTotals = incarnation, make(map[string]V)
		if first && (!CountsFromZero(incarnation, now) || covered != topology.ScopeOwn) {
			// Counts from before the source's first report are not forwarded by this VM. A
			// source that reports for several VMs says nothing about when those started.
			maps.Copy(s.lastTotals, totals)
		}
	}
	gap := !s.lastReportAt.IsZero() && now.Sub(s.lastReportAt) > MaxReportGap
	if gap || s.covered != covered {
		// Totals of another scope are sums over other VMs, and cannot be compared.
		maps.Copy(s.lastTotals, totals)
	}
	s.lastReportAt, s.covered = now, covered
	scope := narrowestScope(follows)
	contribution := s.contributions[scope]
	if contribution == nil {
		contribution = make(map[string]V)
		s.contributions[scope] = contribution
	}
	for name, total := range totals {
		difference := total.Sub(s.lastTotals[name])
		contribution[name] = contribution[name].Add(difference)
		c.sums.add(scope, name, difference)
		s.lastTotals[name] = total
	}
}

// Since returns the sums of a scope that have changed since a version number, without the
// contribution of one VM. With number 0 it returns all sums that are not zero.
func (c *Counters[V]) Since(scope topology.Scope, number uint64, excludedVM string) map[string]V {
	var parts []map[string]V
	if s := c.sources[excludedVM]; s != nil {
		for added, contribution := range s.contributions {
			if added <= scope {
				parts = append(parts, contribution)
			}
		}
	}
	return c.sums.since(scope, number, parts...)
}
