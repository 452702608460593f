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

// availability returns which requests an instance may be given now. Whether it answers is another
// matter, which node.responsive tells.
func (s *Assigner) availability(n *node, now time.Time) availability {
	switch i := &n.instance; {
	case i.Draining:
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
