package assign

import (
	"time"
)

const (
	// pauseFill is the part of a route's pause objective that the steps and the reading
	// between two events of a stream may take.
	pauseFill = 0.75
	// pacedFrom is the part of streams with pauses that are too long from which prompts are
	// sent by the pace of reading, pacedUntil the part below which they no longer are. Engines
	// that read prompts in small pieces between their steps make few such pauses, and
	// holding prompts back there would serve nobody.
	pacedFrom  = 0.02
	pacedUntil = 0.0005
	// pausesMemory is the weight that the streams before keep in that part.
	pausesMemory = 0.99
)

// pausing is what is known of the pauses of a service's streams.
type pausing struct {
	// share is the part of them that paused too long of late.
	share float64
	paced bool
}

// noteStream takes in whether a stream of a service had a pause that was too long.
func (s *Assigner) noteStream(service string, paused bool) {
	p := s.pausing[service]
	p.share *= pausesMemory
	if paused {
		p.share += 1 - pausesMemory
	}
	switch {
	case p.share >= pacedFrom:
		p.paced = true
	case p.share < pacedUntil:
		p.paced = false
	}
	s.pausing[service] = p
}

// stalls reports whether the streams of an engine would stand still for too long if it read
// so many more tokens now. An engine reads the prompts that have come between two steps, so
// that an event waits for the steps of its tokens and for all prompts that come meanwhile.
// One prompt is always let through.
func (s *Assigner) stalls(n *node, a Ask, uncached int, now time.Time) bool {
	spec := s.spec(a.Service)
	if a.Pause == 0 || spec == nil || !s.pausing[a.Service].paced {
		return false
	}
	read := n.readSince(now.Add(-a.Pause))
	if read == 0 {
		return false
	}
	p := s.paceOf(a.Model)
	steps := time.Duration(max(1, spec.TokensPerEvent)) * p.step
	return steps+read+time.Duration(uncached)*p.read > time.Duration(pauseFill*float64(a.Pause))
}

// reading is the reading of prompts that an engine was given, in engine time.
type reading struct {
	at   time.Time
	took time.Duration
}

// noteReading remembers reading for as long as streams may stand still for it.
func (n *node) noteReading(took time.Duration, now time.Time) {
	for len(n.readings) > 0 && now.Sub(n.readings[0].at) > reportLifetime {
		n.readings = n.readings[1:]
	}
	n.readings = append(n.readings, reading{at: now, took: took})
}

// readSince is the reading that came since a time, of all VMs as far as they have told.
func (n *node) readSince(from time.Time) time.Duration {
	var sum time.Duration
	for i := len(n.readings) - 1; i >= 0 && n.readings[i].at.After(from); i-- {
		sum += n.readings[i].took
	}
	return sum
}

// hearReading takes the reading that another VM has given to the engine since its start.
// What it told may overtake each other; a total that is much lower is of a new start.
func (n *node) hearReading(vm string, total time.Duration, now time.Time) {
	before, known := n.readTotals[vm]
	if known && total < before && before-total < reportLifetime {
		return
	}
	n.readTotals[vm] = total
	if known && total > before {
		n.noteReading(total-before, now)
	}
}
