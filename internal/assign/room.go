package assign

import "time"

// Room is what the available upstreams of a service can run at once, and the work that is known to be there.
type Room struct {
	// Upstreams counts the available upstreams, Slots the requests that they run at once.
	Upstreams, Slots int
	// InFlight counts the requests that all VMs have there, as far as they have reported them.
	InFlight int
	// Running counts those of them that have a slot if every upstream runs as many as it can.
	Running int
}

// Room returns the room of the available upstreams of a service. If model is not empty, only the engines that hold it count.
func (s *Assigner) Room(service, model string, now time.Time) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	var room Room
	for _, n := range s.nodes {
		if n.instance.Service != service || !n.responsive(now) || s.stateAvailability(n, now) != available {
			continue
		}
		if model != "" && !n.holds(model) {
			continue
		}
		room.Upstreams++
		slots, requests := max(1, n.instance.Slots), n.total(now, 0).requests
		room.Slots += slots
		room.InFlight += requests
		room.Running += min(slots, requests)
	}
	return room
}

// ExpectedCost returns the time of an upstream that a request is expected to take: of one slot at a service without engines,
// of the whole engine otherwise.
func (s *Assigner) ExpectedCost(req Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Model == "" {
		return s.plainCostOf(&req)
	}
	return s.engineCostOf(&req)
}
