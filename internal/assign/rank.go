package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeBelief is the part of a prompt's shared parts that the engine is taken to
	// keep to which all VMs send such prompts first, although this VM has not sent
	// one lately.
	homeBelief = 0.7
	// urgentShare is the part of the waiting prompts that delays an urgent request:
	// engines let it pass those that wait, not those that are being read.
	urgentShare = 0.5
	// stepTime is the shortest time to a first event: one step of a batch beside
	// other requests' prompts.
	stepTime = 25 * time.Millisecond
	// requestCrowding is by how much a request in flight makes an engine less attractive: it
	// makes every step longer.
	requestCrowding = 2 * time.Millisecond
)

// offer is what an engine can do for a request: it reads so many tokens, has the first
// event after start, and ranks by its cost.
type offer struct {
	node        *node
	uncached    int
	start, cost time.Duration
}

// cheapest returns the best offer of the engines that have a place and can read the prompt
// without their streams standing still, nil if none has.
func (s *Assigner) cheapest(engines []*node, home *node, a Ask, perToken time.Duration, now time.Time) *offer {
	var best *offer
	for _, n := range engines {
		uncached, current := s.uncached(n, a, n == home, now), n.total(now, perToken)
		if !s.hasPlace(n, a, uncached, current, now) || s.stalls(n, a, uncached, now) {
			continue
		}
		start := startAfter(n, a, uncached, current, perToken)
		unheard := max(0, n.usual(now)-(current.prefill-n.own.prefill))
		cost := start + crowding(current) + time.Duration(unheard)*perToken + n.readSince(now.Add(-a.Pause))
		if best == nil || cost < best.cost {
			best = &offer{node: n, uncached: uncached, start: start, cost: cost}
		}
	}
	return best
}

// sample is the engines that a request is compared at: all of them in a small fleet, else
// its home and a few that are drawn by the request. Reports reach all of many VMs at about
// the same moment, and each would send its next requests to the one engine that looks best
// in them, while others that hold the model have next to nothing to do.
func (s *Assigner) sample(engines []*node, home *node, a Ask) []*node {
	if s.vms <= smallFleet || len(engines) <= sampleSize || len(a.Parts) == 0 {
		return engines
	}
	own := a.Parts[len(a.Parts)-1].Hash
	drawn := slices.Clone(engines)
	slices.SortFunc(drawn, func(x, y *node) int { return cmp.Compare(x.draw(own), y.draw(own)) })
	drawn = drawn[:sampleSize]
	if home != nil && !slices.Contains(drawn, home) {
		drawn = append(drawn, home)
	}
	return drawn
}

// draw is a number for an engine and a hash, the same at all VMs.
func (n *node) draw(hash uint64) uint64 { return mix(xxhash.Sum64String(n.instance.ID) ^ hash) }

const (
	// smallFleet is the number of VMs up to which each compares all engines: what another
	// VM does is heard within a quarter of a second there.
	smallFleet = 12
	// sampleSize is how many engines are compared in a larger one. Two draws already
	// spread as well as the age of the reports allows; the third finds parts that are kept.
	sampleSize = 3
)

// homeOf is the engine to which all VMs send prompts that begin alike, so that
// their shared parts are read once. It is drawn by rendezvous hashing: a change of
// the engines moves only the prompts of those that came or went.
func homeOf(candidates []*node, a Ask) *node {
	if len(a.Parts) < 2 {
		return nil
	}
	shared := a.Parts[len(a.Parts)-2].Hash
	var home *node
	var top uint64
	for _, n := range candidates {
		weight := n.draw(shared)
		if home == nil || weight > top {
			home, top = n, weight
		}
	}
	return home
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// uncached is how many tokens of the prompt the engine would have to read.
func (s *Assigner) uncached(n *node, a Ask, home bool, now time.Time) int {
	kept := n.cachedTokens(a, now)
	if home && len(a.Parts) >= 2 {
		kept = max(kept, int(homeBelief*float64(a.Parts[len(a.Parts)-2].Tokens)))
	}
	return max(0, a.PromptTokens-kept)
}

// startAfter is the expected time to the first event at an engine with a load.
func startAfter(n *node, a Ask, uncached int, l load, perToken time.Duration) time.Duration {
	backlog := time.Duration(l.prefill) * perToken
	if a.Urgency == 0 {
		backlog = time.Duration(urgentShare * float64(backlog))
	}
	work := backlog + time.Duration(uncached)*perToken + stepTime
	return time.Duration(float64(work) * n.slow)
}

// crowding prefers engines with fewer requests.
func crowding(l load) time.Duration { return time.Duration(l.requests) * requestCrowding }
