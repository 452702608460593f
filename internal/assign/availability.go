package assign

import "time"

// availability says which requests an instance may be given.
type availability int

const (
	// unavailable instances get no requests.
	unavailable availability = iota
	// lastChoice instances get only requests that no available instance can take.
	lastChoice
	// available instances get any request.
	available
)

// availability returns whether an instance may be given a request now. Whether it answers is another
// matter, which node.responsive tells.
func (s *Assigner) availability(n *node, req Request, now time.Time) availability {
	return min(s.stateAvailability(n, now), s.permitAvailability(n, req, now))
}

// stateAvailability returns the availability of an instance by its own state.
func (s *Assigner) stateAvailability(n *node, now time.Time) availability {
	switch i := n.instance; {
	case i.Draining, s.wantsNoRequests(n, now):
		return unavailable
	case i.Evacuated() && !now.Before(i.EvacuateBy):
		return unavailable
	case i.Evacuated():
		return lastChoice
	case !s.isCold(n, now):
		return available
	case s.maySendCold(n, now):
		return lastChoice
	}
	return unavailable
}

// Withdrawn reports whether the upstream of a choice may not be given the request any more: it leaves, is of
// another incarnation, wants no requests, or its failure domain has been evacuated. What a choice itself uses
// up, such as the requests that a cold upstream takes, does not count.
func (s *Assigner) Withdrawn(c *Choice, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := c.node.instance
	return s.nodes[c.Instance] != c.node || i.Draining || s.wantsNoRequests(c.node, now) || (i.Evacuated() && !now.Before(i.EvacuateBy))
}

// permitAvailability returns the availability of an instance by the permits for it.
func (s *Assigner) permitAvailability(n *node, req Request, now time.Time) availability {
	if !s.needsPermit(n) {
		return available
	}
	needed, other := s.rateLimits.NextPermits(n.key())
	switch {
	case req.WithoutPermit || now.Before(needed):
		return unavailable
	case now.Before(other):
		return lastChoice
	}
	return available
}
