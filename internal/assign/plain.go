package assign

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// plainExpected is the assumed answer time of a service without engines.
	plainExpected = 50 * time.Millisecond
	// shortRoomJitter is the largest jitter in requests while room is short: beside it, one request more hardly counts.
	shortRoomJitter = 1.5
	// unconfirmedPreference exceeds the cost of any instance.
	unconfirmedPreference = 1e6
	// otherPartCost is the cost of an instance of the part that is meant for requests of another size: that of one whose slots
	// are all taken.
	otherPartCost = 1.0
	// plainDraws is how many instances are compared for a request in a large fleet: if they are divided, half from each part.
	plainDraws = 2
	// slowDrawPower is how steeply the chance to be drawn falls with an instance's slowdown.
	slowDrawPower = 4
)

// cheapestPlain returns the instance of an availability with the lowest cost, nil if there is none.
func (s *Assigner) cheapestPlain(wanted availability, req Request, now time.Time) *node {
	own, others := s.divide(s.plainCandidates(wanted, req, now), &req)
	draws := plainDraws
	if len(others) > 0 {
		draws /= 2
	}
	best, bestCost := s.leastPlain(s.drawPlain(own, draws, &req, now), req, now)
	other, otherCost := s.leastPlain(s.drawPlain(others, draws, &req, now), req, now)
	if best == nil || (other != nil && otherCost+otherPartCost < bestCost) {
		return other
	}
	return best
}

// plainCandidates returns the instances of an availability that may be given a request. The result is valid until the next call.
func (s *Assigner) plainCandidates(wanted availability, req Request, now time.Time) []*node {
	out := s.candidateBuffer[:0]
	for _, n := range s.nodes {
		if req.admits(n) && n.responsive(now) && s.availability(n, req, now) == wanted {
			out = append(out, n)
		}
	}
	s.candidateBuffer = out
	return out
}

// leastPlain returns the instance with the lowest cost and that cost, nil if there are none.
func (s *Assigner) leastPlain(candidates []*node, req Request, now time.Time) (best *node, bestCost float64) {
	for _, n := range candidates {
		cost := plainCost(n, s.slowdown(n, now), now, req)
		if s.isUnconfirmed(n) {
			cost -= unconfirmedPreference
		}
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best, bestCost
}

// plainCost ranks the instances of a service without engines by the share of their places
// that is taken, and ranks slow and failing ones lower. The jitter depends on the request,
// so that VMs that do not know each other's latest choices do not all choose the same
// instance.
func plainCost(n *node, slowdown float64, now time.Time, req Request) float64 {
	l := n.total(now, 0)
	slots := float64(max(1, n.instance.Slots))
	if req.Room != RoomAny {
		// All instances are busy, and the work that other VMs have reported has changed meanwhile: VMs that went by it would
		// all choose the same instance until the next report.
		return (float64(n.local.requests)+shortRoomJitter*req.jitter(n.instance.ID))/slots*n.slowness*slowdown + 2*n.failures
	}
	return (float64(l.requests)+0.5+0.3*req.jitter(n.instance.ID))/slots*n.slowness*slowdown + 2*n.failures
}

// knowsLittle reports whether this VM's knowledge of the instances of a service is old, so that what it expects a request to cost
// says more: in a large fleet, in which reports of other VMs take up to a second. Services that report no load, and brittle ones,
// are compared whole.
func (s *Assigner) knowsLittle(service string) bool {
	if s.costs == nil || len(s.others)+1 <= smallFleet || !s.reporting[service] {
		return false
	}
	_, brittle := s.brittle[service]
	return !brittle
}

// drawPlain returns the instances that are compared for a request: all of them in a small fleet, otherwise a few that are drawn by
// the request. Reports reach all VMs of a large fleet at about the same moment, and each VM would send its next requests to the one
// instance that looks best in them.
func (s *Assigner) drawPlain(candidates []*node, count int, req *Request, now time.Time) []*node {
	if len(candidates) <= count || !s.knowsLittle(req.Service) {
		return candidates
	}
	requestHash := mix(uint64(req.StartBy.UnixNano()))
	orders := make([]float64, 0, plainDraws)
	for i, n := range candidates {
		order := s.drawOrder(n, requestHash, now)
		at, _ := slices.BinarySearch(orders, order)
		if at == count {
			continue
		}
		if len(orders) == count {
			orders = orders[:count-1]
		}
		orders = slices.Insert(orders, at, order)
		// The instances drawn so far stand at the beginning, in their order.
		copy(candidates[at+1:i+1], candidates[at:i])
		candidates[at] = n
	}
	return candidates[:count]
}

// drawOrder orders instances differently for each request. Instances at which work takes longer come first more rarely: the order
// is that of exponential variates whose means grow with the slowdown.
func (s *Assigner) drawOrder(n *node, requestHash uint64, now time.Time) float64 {
	order := -math.Log((float64(n.rendezvousWeight(requestHash)>>11) + 0.5) / (1 << 53))
	if slowdown := n.slowness * s.slowdown(n, now); slowdown != 1 {
		order *= math.Pow(slowdown, slowDrawPower)
	}
	return order
}

// divide returns the instances that are meant for requests as dear as this one, and the others. All are meant for every request
// unless some routes of the service are far dearer than the mean: then the dear requests of a large fleet have a part of the
// instances that corresponds to their share of the work, so that the cheap ones do not wait behind them. All VMs divide alike,
// without messages. In a small fleet it is known where slots are free, and the dear ones would only wait longer.
func (s *Assigner) divide(candidates []*node, req *Request) (own, others []*node) {
	if len(candidates) < 2 || !s.knowsLittle(req.Service) {
		return candidates, nil
	}
	share := s.costs.ShareAbove(req.Service, dearFactor)
	if share == 0 {
		return candidates, nil
	}
	slices.SortFunc(candidates, func(x, y *node) int {
		return cmp.Compare(x.rendezvousWeight(dearSalt), y.rendezvousWeight(dearSalt))
	})
	k := min(max(int(share*float64(len(candidates))+0.5), 1), len(candidates)-1)
	if s.isDear(req) {
		return candidates[:k], candidates[k:]
	}
	return candidates[k:], candidates[:k]
}

// dearSalt orders the instances for dear requests.
const dearSalt = 0x9e3779b97f4a7c15
