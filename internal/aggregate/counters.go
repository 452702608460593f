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
	// ownIncarnation is the start of this VM. The first report of a VM of the same failure
	// domain that started later counts from zero.
	ownIncarnation int64
	sums           sums[V]
	own            map[string]V
	sources        map[string]*source[V]
}

type source[V any] struct {
	incarnation int64
	// sameDomain is whether the source is in this VM's failure domain.
	sameDomain   bool
	lastReportAt time.Time
	// lastTotals holds the totals of the source's last report.
	lastTotals map[string]V
	// contribution is the source's part of the sums.
	contribution map[string]V
}

// NewCounters returns empty counters of a VM with the given incarnation. Changes are
// numbered by version.
func NewCounters[V Value[V]](incarnation int64, version *Version) *Counters[V] {
	return &Counters[V]{ownIncarnation: incarnation, sums: newSums[V](version), own: make(map[string]V), sources: make(map[string]*source[V])}
}

// maxReportGap is the longest time between two reports of a source of which the difference
// is added to the sums. During a longer gap, the source is assumed to have reported to
// another VM, whose sums have reached the other VMs, so adding the difference would count it
// twice.
const maxReportGap = 1500 * time.Millisecond

// SetOwn sets the totals that this VM has counted since its start. Names that are missing
// have not changed.
func (c *Counters[V]) SetOwn(totals map[string]V) {
	for name, total := range totals {
		c.sums.add(topology.ScopeOwn, name, total.Sub(c.own[name]))
		c.own[name] = total
	}
}

// Record records the totals that a VM has counted since the start of its incarnation. Names
// that are missing have not changed.
func (c *Counters[V]) Record(vm string, incarnation int64, sameDomain bool, totals map[string]V, now time.Time) {
	s := c.sources[vm]
	if s == nil {
		s = &source[V]{sameDomain: sameDomain, contribution: make(map[string]V)}
		c.sources[vm] = s
	}
	if s.incarnation != incarnation {
		first := s.incarnation == 0
		s.incarnation, s.lastTotals = incarnation, make(map[string]V)
		if first && (incarnation < c.ownIncarnation || !sameDomain) {
			// Counts from before the source's first report are not forwarded by this VM. A
			// source in another failure domain reports for several VMs, and its incarnation
			// says nothing about when those started.
			maps.Copy(s.lastTotals, totals)
		}
	}
	if sinceLastReport := now.Sub(s.lastReportAt); !s.lastReportAt.IsZero() && sinceLastReport > maxReportGap {
		maps.Copy(s.lastTotals, totals)
	}
	s.lastReportAt = now
	for name, total := range totals {
		difference := total.Sub(s.lastTotals[name])
		s.contribution[name] = s.contribution[name].Add(difference)
		c.sums.add(narrowestScope(s.sameDomain), name, difference)
		s.lastTotals[name] = total
	}
}

// Since returns the sums of a scope that have changed since a version number, without the
// contribution of one VM. With number 0 it returns all sums that are not zero.
func (c *Counters[V]) Since(scope topology.Scope, number uint64, excludedVM string) map[string]V {
	var part map[string]V
	if s := c.sources[excludedVM]; s != nil && narrowestScope(s.sameDomain) <= scope {
		part = s.contribution
	}
	return c.sums.since(scope, number, part)
}
