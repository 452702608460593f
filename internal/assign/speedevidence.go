package assign

import (
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstreamload"
)

const (
	// minStepStreams is the number of streams of a model from which this VM's step time is used to compare engines.
	minStepStreams = 4
	// maxOwnEvidence bounds the upstreams of which this VM keeps evidence: that of former ones is dropped beyond it.
	maxOwnEvidence = 8192
)

// engineSpeed is what all VMs have observed of the speed of an engine.
type engineSpeed struct {
	lasting upstreamload.Lasting
	// applied is the evidence that is part of lasting, factor how much longer work takes than at other engines.
	applied upstreamload.Evidence
	factor  float64
}

// recordStepRatio records the step time of a stream, compared with that of its model at all engines.
func (s *Assigner) recordStepRatio(c *Choice, observed time.Duration) {
	n, p := c.node, s.speeds[c.request.Model]
	p.streams++
	s.speeds[c.request.Model] = p
	if s.ignoreReportedLoad || n.reported == nil || p.streams < minStepStreams || p.step <= 0 {
		return
	}
	ratio := float64(observed) / float64(p.step) / n.reported.slowdown.Expected(s.persistenceOf(n), n.lastActivity)
	id := n.instance.ID
	if s.ownSpeeds == nil {
		s.ownSpeeds, s.newSpeeds = make(map[string]upstreamload.Evidence), make(map[string]upstreamload.Evidence)
	}
	s.ownSpeeds[id] = s.ownSpeeds[id].Add(upstreamload.Observation(ratio))
	s.newSpeeds[id] = s.ownSpeeds[id]
}

// NewSpeedEvidence returns this VM's evidence since its start of the upstreams that it has observed since the last call.
func (s *Assigner) NewSpeedEvidence() map[string]upstreamload.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.newSpeeds
	if len(out) == 0 {
		return nil
	}
	s.newSpeeds = make(map[string]upstreamload.Evidence)
	if len(s.ownSpeeds) > maxOwnEvidence {
		for id := range s.ownSpeeds {
			if s.nodes[id] == nil {
				delete(s.ownSpeeds, id)
			}
		}
	}
	return out
}

// SpeedChange is a change of the speed of an upstream, compared with others of its service.
type SpeedChange struct {
	Instance      string
	Before, After float64
}

// ApplySpeeds applies the evidence of all VMs, by instance, as totals since they started. It returns the upstreams whose speed has
// changed so much that choices may change.
func (s *Assigner) ApplySpeeds(totals map[string]upstreamload.Evidence, now time.Time) []SpeedChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make(map[string]bool)
	for id, total := range totals {
		n := s.nodes[id]
		if s.ignoreReportedLoad || n == nil {
			continue
		}
		if n.speed == nil {
			n.speed = &engineSpeed{factor: 1}
		}
		n.speed.lasting.Add(total.Sub(n.speed.applied), now)
		n.speed.applied = total
		services[n.instance.Service] = true
	}
	var out []SpeedChange
	for service := range services {
		out = append(out, s.compareSpeeds(service)...)
	}
	return out
}

// minSpeedChange is the least change of a factor that is reported.
const minSpeedChange = 1.25

// compareSpeeds compares the engines of a service.
func (s *Assigner) compareSpeeds(service string) []SpeedChange {
	var engines []*node
	var speeds []*upstreamload.Lasting
	for _, n := range s.nodes {
		if n.instance.Service == service && n.speed != nil {
			engines, speeds = append(engines, n), append(speeds, &n.speed.lasting)
		}
	}
	var out []SpeedChange
	for i, factor := range upstreamload.Factors(speeds) {
		n := engines[i]
		if math.Abs(math.Log(factor/n.speed.factor)) >= math.Log(minSpeedChange) {
			out = append(out, SpeedChange{Instance: n.instance.ID, Before: n.speed.factor, After: factor})
			n.speed.factor = factor
		}
	}
	return out
}
