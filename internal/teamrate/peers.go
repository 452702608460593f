package teamrate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
)

// updateSilent finds the silent peers if there may be others than at the last look, and refills all
// buckets, so that a peer counts as silent since that look at most.
func (l *Limiter) updateSilent(now time.Time) {
	if now.Before(l.nextSilence) {
		return
	}
	l.findSilent(now)
	l.refillAll(now)
}

// findSilent finds the silent peers.
func (l *Limiter) findSilent(now time.Time) {
	l.silent, l.nextSilence = nil, now.Add(reportTimeout)
	for _, p := range l.peers {
		silence := p.lastReport.Add(reportTimeout)
		if now.After(silence) {
			l.silent = append(l.silent, p)
		} else if silence.Before(l.nextSilence) {
			l.nextSilence = silence
		}
	}
}

// resume handles the first report of a VM that reports for many after a gap. Those VMs may have
// reported through another one meanwhile, so that part of their usage is already taken from the
// buckets. What was assumed for the gap stays taken instead of what the totals say.
func (l *Limiter) resume(p *peer, admitted, demand map[string]float64) {
	maps.Copy(p.admitted, admitted)
	maps.Copy(p.demand, demand)
	clear(p.assumedUsage)
}

// setBaseline sets the totals from which the usage of a new incarnation or a newly known VM
// is counted. What a VM that has restarted or has just started admitted counts in full. What
// an older VM admitted before its first report to this one does not count: it has reported it
// to another VM. Nor does the sum accumulated by a VM that reports for many.
func (l *Limiter) setBaseline(p *peer, incarnation int64, admitted map[string]float64, now time.Time) {
	clear(p.admitted)
	if p.weight <= 1 && (p.incarnation != 0 || aggregate.CountsFromZero(incarnation, now)) {
		return
	}
	for team, total := range admitted {
		p.admitted[team] = total
	}
}
