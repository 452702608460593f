package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/warmup"
)

// fleetSettleTime is how long a VM has to know other VMs before it sends requests to cold upstreams or
// issues permits: a VM that has just started may know only a few of the VMs and would take shares, or
// issue permits, that belong to the others.
const fleetSettleTime = 3 * time.Second

// settlesIn returns the time until this VM has known other VMs for fleetSettleTime.
func (s *Assigner) settlesIn(now time.Time) time.Duration {
	if s.fleetKnownSince.IsZero() {
		return fleetSettleTime
	}
	return fleetSettleTime - now.Sub(s.fleetKnownSince)
}

// coldUntil returns until when an instance is cold, zero if it is not. An instance whose failure
// domain was evacuated may have become cold with its return, before its entry tells.
func (s *Assigner) coldUntil(n *node) time.Time {
	until, returned := n.instance.ColdUntil, n.instance.ReturnedAt
	if until.IsZero() && returned.IsZero() {
		return time.Time{}
	}
	service := s.service(n.instance.Service)
	if service == nil || service.ColdRate <= 0 {
		return time.Time{}
	}
	if !returned.IsZero() && returned.Add(service.ColdStart).After(until) {
		until = returned.Add(service.ColdStart)
	}
	return until
}

func (s *Assigner) isCold(n *node, now time.Time) bool { return now.Before(s.coldUntil(n)) }

// maySendCold reports whether this VM may send a request to a cold instance now.
func (s *Assigner) maySendCold(n *node, now time.Time) bool {
	if s.settlesIn(now) > 0 {
		return false
	}
	shares := warmup.Divide(s.service(n.instance.Service).ColdRate, len(s.others)+1)
	if now.Sub(n.sentColdAt) < shares.Interval {
		return false
	}
	return shares.Holds(n.instance.ID, s.self, s.others)
}

// Cold returns the instances that are cold.
func (s *Assigner) Cold(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]bool)
	for id, n := range s.nodes {
		if s.isCold(n, now) {
			out[id] = true
		}
	}
	return out
}

// warmIn returns the time until the first of the cold instances that hold an item is warm, zero if
// there is none.
func (s *Assigner) warmIn(req Request, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, n := range s.nodes {
		if !req.allows(n) || n.instance.Draining || n.instance.Evacuated() || !s.isCold(n, now) {
			continue
		}
		if !n.holdsItemOf(req) {
			continue
		}
		if left := s.coldUntil(n).Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}
