package assign

import (
	"time"
)

const (
	// maxGapShare is the part of a route's objective for the time between two events that
	// the steps and the prefill between them may take.
	maxGapShare = 0.75
	// pacingOnShare is the part of stalled streams from which prompts are paced by prefill
	// work, pacingOffShare the part below which pacing ends. Engines that prefill prompts
	// in small chunks between their steps cause few stalls, and holding prompts back there
	// has no benefit.
	pacingOnShare  = 0.02
	pacingOffShare = 0.0005
	// stallSmoothing is the weight of the previous share of stalled streams when a stream
	// is added.
	stallSmoothing = 0.99
)

// stallStats holds the stall statistics of a service's streams.
type stallStats struct {
	// stalledShare is the smoothed part of streams that stalled for too long.
	stalledShare float64
	pacing       bool
}

// recordStall records whether a stream of a service stalled for too long.
func (s *Assigner) recordStall(service string, stalled bool) {
	p := s.stallStats[service]
	p.stalledShare *= stallSmoothing
	if stalled {
		p.stalledShare += 1 - stallSmoothing
	}
	switch {
	case p.stalledShare >= pacingOnShare:
		p.pacing = true
	case p.stalledShare < pacingOffShare:
		p.pacing = false
	}
	s.stallStats[service] = p
}

// wouldStall reports whether the streams of an engine would stall for too long if it
// prefilled so many more tokens now. An engine prefills the prompts that have arrived
// between two steps, so an event waits for the steps of its tokens and for all prompts that
// arrive meanwhile. One prompt is always let through.
func (s *Assigner) wouldStall(n *node, req Request, uncached int, now time.Time) bool {
	spec := s.spec(req.Service)
	if req.MaxGap == 0 || spec == nil || !s.stallStats[req.Service].pacing {
		return false
	}
	prefill := n.prefillSince(now.Add(-req.MaxGap))
	if prefill == 0 {
		return false
	}
	p := s.speedOf(req.Model)
	steps := time.Duration(max(1, spec.TokensPerEvent)) * p.step
	return steps+prefill+time.Duration(uncached)*p.prefillPerToken > time.Duration(maxGapShare*float64(req.MaxGap))
}

// prefillEntry is prefill work that an engine was given, in engine time.
type prefillEntry struct {
	at       time.Time
	duration time.Duration
}

// recordPrefill adds prefill work. Entries are kept for reportLifetime, as long as streams
// may stall because of them.
func (n *node) recordPrefill(duration time.Duration, now time.Time) {
	for len(n.prefills) > 0 && now.Sub(n.prefills[0].at) > reportLifetime {
		n.prefills = n.prefills[1:]
	}
	n.prefills = append(n.prefills, prefillEntry{at: now, duration: duration})
}

// prefillSince returns the prefill work given to the engine since from, by all VMs as far
// as they have reported it.
func (n *node) prefillSince(from time.Time) time.Duration {
	var sum time.Duration
	for i := len(n.prefills) - 1; i >= 0 && n.prefills[i].at.After(from); i-- {
		sum += n.prefills[i].duration
	}
	return sum
}

// recordPeerPrefill applies another VM's total of the prefill work that it has given to the
// engine since its start. Reports may arrive out of order, so a slightly lower total is
// ignored; a much lower total means that the VM has restarted.
func (n *node) recordPeerPrefill(vm string, total time.Duration, now time.Time) {
	before, known := n.peerPrefillTotals[vm]
	if known && total < before && before-total < reportLifetime {
		return
	}
	put(&n.peerPrefillTotals, vm, total)
	if known && total > before {
		n.recordPrefill(total-before, now)
	}
}
