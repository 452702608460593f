package teamrate

import "time"

// peer is another VM that reports to this one.
type peer struct {
	// weight is how many VMs it reports for, lateVMs how many of them it lacks reports of.
	weight, lateVMs float64
	incarnation     int64
	lastReport      time.Time
	// demand holds the totals by team that it last reported as requested.
	demand map[string]float64
	// firstReport is when the first report of this incarnation arrived.
	firstReport time.Time
	// assumedUsage is what was taken from the buckets on its behalf while it did not
	// report.
	assumedUsage map[string]float64
}

// unreachable stands in peers for the VMs that no peer reports for.
const unreachable = ""

// SetPeers replaces the VMs that report to this one; weights holds how many VMs each reports for, and vms
// is the number of VMs that share the rates, this one included. What was assumed for a VM that is no
// longer in weights is kept.
func (l *Limiter) SetPeers(weights map[string]int, vms int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSilent(now)
	l.refillAll(now)
	defer l.findSilent(now)
	if l.started.IsZero() {
		l.started = now
	}
	reported, all := 1, make(map[string]int, len(weights)+1)
	for vm, weight := range weights {
		reported += weight
		all[vm] = weight
	}
	if vms > reported {
		all[unreachable] = vms - reported
	}
	l.vms = float64(max(vms, reported))
	var replaced []*peer
	for vm, p := range l.peers {
		// Totals for one VM and for many are different sums, and cannot be compared.
		if weight, ok := all[vm]; !ok || (p.weight > 1) != (weight > 1) {
			replaced = append(replaced, p)
			delete(l.peers, vm)
		}
	}
	for vm, weight := range all {
		if l.peers[vm] == nil {
			l.peers[vm] = &peer{demand: make(map[string]float64), assumedUsage: make(map[string]float64)}
		}
		l.peers[vm].weight = float64(weight)
	}
	for _, p := range replaced {
		l.handOver(p)
	}
}

// updateSilent finds the silent peers if there may be others than at the last look, and refills all
// buckets, so that a peer counts as silent since that look at most.
func (l *Limiter) updateSilent(now time.Time) {
	if now.Before(l.nextSilence) {
		return
	}
	l.findSilent(now)
	l.refillAll(now)
}

// findSilent finds the peers that are silent, or that lack reports of other VMs.
func (l *Limiter) findSilent(now time.Time) {
	l.silent, l.nextSilence = nil, now.Add(reportTimeout)
	for _, p := range l.peers {
		silence := p.lastReport.Add(p.timeout())
		if now.After(silence) || p.lateVMs > 0 {
			l.silent = append(l.silent, p)
		}
		if !now.After(silence) && silence.Before(l.nextSilence) {
			l.nextSilence = silence
		}
	}
}
