package teamrate

import (
	"math"
	"time"
)

// This file holds what is assumed of VMs whose reports are late. It is taken from the buckets until a
// report says what they have really used.

const (
	// lateAfter is the time without a report after which a peer's report is late.
	lateAfter = 300 * time.Millisecond
	// unmatchedRequests is the number of requests that a VM may admit while reports are late before it
	// assumes that the late VMs have admitted as much: a single request says nothing about others.
	unmatchedRequests = 2
)

// timeout is how long a peer may go without a report before its usage is assumed.
func (p *peer) timeout() time.Duration {
	if p.weight > 1 {
		return lateAfter
	}
	return reportTimeout
}

// silentVMs returns how many of the VMs that a peer reports for have not been heard of for too long.
func (p *peer) silentVMs(now time.Time) float64 { return p.unheardVMs(p.timeout(), now) }

// latePart returns how many of the VMs that a peer reports for are late.
func (p *peer) latePart(now time.Time) float64 { return p.unheardVMs(lateAfter, now) }

// unheardVMs returns all VMs that a peer reports for if it has not reported for a time, else those that it
// lacks reports of itself.
func (p *peer) unheardVMs(timeout time.Duration, now time.Time) float64 {
	if now.Sub(p.lastReport) > timeout {
		return p.weight
	}
	return p.lateVMs
}

func (l *Limiter) lateVMs(now time.Time) float64 {
	sum := 0.0
	for _, p := range l.peers {
		sum += p.latePart(now)
	}
	return sum
}

// LateVMs returns how many of the VMs that report only for themselves do not report, and how many of all
// VMs are not known from recent reports.
func (l *Limiter) LateVMs(now time.Time) (single, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	singleSum, sum := 0.0, 0.0
	for _, p := range l.peers {
		if p.weight > 1 {
			sum += p.latePart(now)
		} else {
			singleSum += p.silentVMs(now)
		}
	}
	return int(singleSum), int(singleSum + sum)
}

// recentUsage is what this VM has admitted since reports began to be late, and shortly before.
type recentUsage struct {
	units, largest float64
	// demand is the average demand at this VM when reports were last not late, in units per second.
	demand float64
	// since is when the period began that units cover.
	at, since time.Time
}

func (r *recentUsage) add(units, demand float64, late bool, now time.Time) {
	if !late {
		decay := math.Exp(-now.Sub(r.at).Seconds() / lateAfter.Seconds())
		r.units, r.largest = r.units*decay, r.largest*decay
		r.demand, r.since = demand, now.Add(-lateAfter)
	}
	r.units += units
	r.largest = max(r.largest, units)
	r.at = now
}

// assumeUsageOfLate assumes that the VMs whose reports are late have admitted as much as this one beyond
// its part of the team's rate, in proportion to the demand at them when they last reported. If a team's
// demand has grown at all VMs at once, the equal parts of its rate that are assumed otherwise are too
// little.
func (l *Limiter) assumeUsageOfLate(team string, b *bucket, now time.Time) {
	ownShare := l.ownDemandShare(b, now)
	usual := min(b.recent.demand, ownShare*l.refillRate(b.limit)) * now.Sub(b.recent.since).Seconds()
	unmatched := b.recent.units - unmatchedRequests*b.recent.largest - usual
	if unmatched <= 0 || l.vms <= 1 {
		return
	}
	perVM := unmatched * (1/ownShare - 1) / (l.vms - 1)
	for _, p := range l.peers {
		part := p.latePart(now)
		if p.lateVMs == 0 {
			part *= min(1, now.Sub(p.lastReport).Seconds()/now.Sub(b.recent.since).Seconds())
		}
		// An empty bucket admits nothing: a debt would add nothing but a longer wait.
		if more := min(perVM*part-p.assumedUsage[team], b.level+l.capacity(b.limit)); more > 0 {
			p.assumedUsage[team] += more
			b.level -= more
		}
	}
}

// ownDemandShare estimates which part of a team's demand reaches this VM. A demand up to the team's rate is
// taken to be spread evenly: a VM where a demand begins does not know yet that it begins at others too.
func (l *Limiter) ownDemandShare(b *bucket, now time.Time) float64 {
	even := l.refillRate(b.limit)
	own, all := b.recent.demand, b.recent.demand+l.peerDemand(b, now)
	return max(1/l.vms, (own+even/l.vms)/(all+even))
}

// endAssumption returns what was assumed for the VMs that a peer's report newly covers. Before it, late VMs
// were not covered.
func (p *peer) endAssumption(late float64) map[string]float64 {
	kept := 0.0
	if late > 0 {
		kept = min(1, p.lateVMs/late)
	}
	ended := make(map[string]float64, len(p.assumedUsage))
	for team, units := range p.assumedUsage {
		ended[team] = units * (1 - kept)
		p.assumedUsage[team] = units * kept
	}
	if kept == 0 {
		clear(p.assumedUsage)
	}
	return ended
}

// handOver passes what was assumed for a peer that reported for many on to those that replace it, whose
// reports say what its VMs have used.
func (l *Limiter) handOver(p *peer) {
	if p.weight <= 1 || len(p.assumedUsage) == 0 {
		return
	}
	replaces := func(vm string, next *peer) bool {
		return vm != unreachable && next.weight > 1 && next.lastReport.IsZero()
	}
	weight := 0.0
	for vm, next := range l.peers {
		if replaces(vm, next) {
			weight += next.weight
		}
	}
	for vm, next := range l.peers {
		if !replaces(vm, next) {
			continue
		}
		for team, units := range p.assumedUsage {
			next.assumedUsage[team] += units * next.weight / weight
		}
	}
}
