package teamrate

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
)

// Report is what another VM reports.
type Report struct {
	VM          string
	Incarnation int64
	// Admitted holds the units by team that VMs have admitted and that were unknown here until now.
	Admitted map[string]float64
	// Demand holds the units by team that were requested since the VM started. Teams that are missing
	// have the same total as in its last report.
	Demand map[string]float64
	// LateVMs is the number of VMs that the report covers and that its sender lacks reports of.
	LateVMs int
}

// ApplyReport applies a report of another VM. The demand at VMs that SetPeers did not name is ignored.
func (l *Limiter) ApplyReport(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSilent(now)
	p := l.peers[r.VM]
	if p == nil {
		l.recordAdmitted(r.Admitted, nil, exchangePeriod, now)
		return
	}
	silenceChanges := p.lateVMs != float64(r.LateVMs) || slices.Contains(l.silent, p)
	if silenceChanges {
		l.refillAll(now)
	}
	gap := exchangePeriod
	if !p.lastReport.IsZero() {
		gap = now.Sub(p.lastReport)
	}
	if p.incarnation != r.Incarnation || (p.weight > 1 && gap > aggregate.MaxReportGap) {
		// The average demand begins anew: another VM may have reported the same demand meanwhile.
		p.firstReport = now
		clear(p.demand)
		maps.Copy(p.demand, r.Demand)
	}
	l.recordPeerDemand(p, r.Demand, gap, now)
	late := p.latePart(now)
	p.incarnation, p.lastReport, l.lastReport = r.Incarnation, now, now
	p.lateVMs = min(float64(r.LateVMs), p.weight)
	l.recordAdmitted(r.Admitted, p.endAssumption(late), gap, now)
	if p.weight > 1 {
		l.lastAggregatedReport = now
	}
	if silenceChanges {
		l.findSilent(now)
	}
}

// recordAdmitted takes what other VMs have admitted in a period from the buckets, in place of what was
// assumed for them.
func (l *Limiter) recordAdmitted(admitted, assumed map[string]float64, period time.Duration, now time.Time) {
	for team, units := range assumed {
		if _, ok := admitted[team]; !ok {
			l.credit(team, units, now)
		}
	}
	for team, units := range admitted {
		// The difference is credited at once: a full bucket would not hold the assumed units by themselves.
		l.credit(team, assumed[team]-units, now)
		if b := l.teams[team]; b != nil {
			b.recordPeerUsage(units, period, now)
		}
	}
}
