package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// preferredCacheShare is the part of a prompt's shared prefix that is assumed to be
	// cached at its preferred engine even if this VM has not sent such a prompt lately: all
	// VMs send them there first.
	preferredCacheShare = 0.7
	// urgentBacklogShare is the part of the prefill backlog that delays an urgent request:
	// engines let it overtake prompts that wait, but not those that are being prefilled.
	urgentBacklogShare = 0.5
	// minFirstEventTime is the shortest time to a first event: one step of a batch beside
	// other requests' prompts.
	minFirstEventTime = 25 * time.Millisecond
	// requestPenalty is the cost that each request in flight adds when engines are ranked:
	// it makes every step longer.
	requestPenalty = 2 * time.Millisecond
)

// estimate is what an engine can do for a request: the tokens it has to prefill, the time
// until the first event, and the cost by which engines are ranked.
type estimate struct {
	node        *node
	uncached    int
	start, cost time.Duration
}

// cheapest returns the estimate with the lowest cost among the engines that have a place
// and can prefill the prompt without stalling their streams, nil if there is none.
func (s *Assigner) cheapest(engines []*node, preferred *node, req Request, perToken time.Duration, now time.Time) *estimate {
	var best *estimate
	for _, n := range engines {
		uncached, current := s.uncached(n, req, n == preferred, now), n.total(now, perToken)
		if !s.hasPlace(n, req, uncached, current, now) || s.wouldStall(n, req, uncached, now) {
			continue
		}
		slowdown := s.slowdown(n, now)
		start := time.Duration(float64(expectedStart(n, req, uncached, current, perToken)) * slowdown)
		announced := int(float64(n.unreportedPrefill(current.prefillTokens, perToken, now)) * slowdown)
		unreported := max(announced, n.meanPeerPrefill(now)-(current.prefillTokens-n.local.prefillTokens))
		cost := start + loadPenalty(current) + time.Duration(unreported)*perToken + n.prefillSince(now.Add(-req.MaxGap))
		if best == nil || cost < best.cost || (cost == best.cost && req.prefers(n, best.node)) {
			best = &estimate{node: n, uncached: uncached, start: start, cost: cost}
		}
	}
	return best
}

// prefers reports whether the first of two engines with the same cost is taken: VMs choose differently.
func (req *Request) prefers(n, other *node) bool {
	return req.jitter(n.instance.ID) < req.jitter(other.instance.ID)
}

// sample returns the engines that are compared for a request: all of them in a small fleet,
// otherwise its preferred engine and a few that are drawn by the request's hash. Reports
// reach all VMs of a large fleet at about the same moment, and each VM would send its next
// requests to the one engine that looks best in them, while other engines that hold the
// model are almost idle.
func (s *Assigner) sample(engines []*node, preferred *node, req Request) []*node {
	if len(s.others)+1 <= smallFleet || len(engines) <= sampleSize || len(req.Prefixes) == 0 {
		return engines
	}
	requestHash := req.Prefixes[len(req.Prefixes)-1].Hash
	drawn := slices.Clone(engines)
	slices.SortFunc(drawn, func(x, y *node) int {
		return cmp.Compare(x.rendezvousWeight(requestHash), y.rendezvousWeight(requestHash))
	})
	drawn = drawn[:sampleSize]
	if preferred != nil && !slices.Contains(drawn, preferred) {
		drawn = append(drawn, preferred)
	}
	return drawn
}

// rendezvousWeight returns the weight of the engine for a hash, which is the same at all
// VMs.
func (n *node) rendezvousWeight(hash uint64) uint64 {
	return mix(xxhash.Sum64String(n.instance.ID) ^ hash)
}

const (
	// smallFleet is the number of VMs up to which each compares all engines: in such a
	// fleet the work of other VMs is known within a quarter of a second.
	smallFleet = 12
	// sampleSize is how many engines are compared in a larger fleet. Two draws already
	// spread requests as well as the age of the reports allows; the third finds cached
	// prefixes.
	sampleSize = 3
)

// preferredEngine returns the engine to which all VMs send prompts with the same shared
// prefix, so that it is prefilled once. It is chosen by rendezvous hashing: when engines
// are added or removed, only the prompts of those engines move.
func preferredEngine(candidates []*node, req Request) *node {
	if len(req.Prefixes) < 2 {
		return nil
	}
	shared := req.Prefixes[len(req.Prefixes)-2].Hash
	var preferred *node
	var maxWeight uint64
	for _, n := range candidates {
		weight := n.rendezvousWeight(shared)
		if preferred == nil || weight > maxWeight {
			preferred, maxWeight = n, weight
		}
	}
	return preferred
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// uncached returns how many tokens of the prompt the engine would have to prefill.
// preferred says whether it is the prompt's preferred engine.
func (s *Assigner) uncached(n *node, req Request, preferred bool, now time.Time) int {
	cached := n.cachedTokens(req, now)
	if preferred && len(req.Prefixes) >= 2 {
		cached = max(cached, int(preferredCacheShare*float64(req.Prefixes[len(req.Prefixes)-2].Tokens)))
	}
	return max(0, req.PromptTokens-cached)
}

// expectedStart returns the expected time to the first event at an engine with the load l.
func expectedStart(n *node, req Request, uncached int, l load, perToken time.Duration) time.Duration {
	backlog := time.Duration(l.prefillTokens) * perToken
	if req.Urgency == 0 {
		backlog = time.Duration(urgentBacklogShare * float64(backlog))
	}
	work := backlog + time.Duration(uncached)*perToken + minFirstEventTime
	return time.Duration(float64(work) * n.slowness)
}

// loadPenalty returns the ranking cost of the requests in flight, so that engines with
// fewer requests are preferred.
func loadPenalty(l load) time.Duration { return time.Duration(l.requests) * requestPenalty }
