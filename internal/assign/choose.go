package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// stepTime is the shortest time to a first event: one step of a batch beside
	// other requests' prompts.
	stepTime = 25 * time.Millisecond
	// kvFill is the part of an engine's KV cache that requests in flight may take.
	// Beyond it an engine preempts requests in the middle of their streams.
	kvFill = 0.85
	// homeBelief is the part of a prompt's shared parts that the engine is taken to
	// keep to which all VMs send such prompts first, although this VM has not sent
	// one lately.
	homeBelief = 0.7
	// urgentShare is the part of the waiting prompts that delays an urgent request:
	// engines let it pass those that wait, not those that are being read.
	urgentShare = 0.5
	// lateBacklog is how much work may wait at an engine that is given a request
	// whose objective is missed already. The work is worth little, so it only fills
	// gaps.
	lateBacklog = 150 * time.Millisecond
	// holdShare is the part of its objective for which a request may wait for a
	// place before it is refused.
	holdShare = 8
	// loadShare is the same for a model or an adapter that is on no engine yet: either is
	// brought as soon as it is asked for, from an engine's own disk within a second, and
	// a caller who is refused comes back later than that.
	loadShare = 2
	// pacedShare is the same for a request that waits for engines to read what they have: its
	// turn comes within a few prompts.
	pacedShare = 2
	// loadWait is what a caller is told whose model or adapter is on no engine: the
	// time of a load from an engine's own disk.
	loadWait = time.Second
	// adapterWait is the same for an adapter that could not be brought at once.
	adapterWait = 250 * time.Millisecond
	// minRetry and maxRetry bound what callers are told to wait.
	minRetry = 100 * time.Millisecond
	maxRetry = 4 * time.Second
)

// Choose finds a place for a request. The error is a *Refused.
func (s *Assigner) Choose(a Ask, now time.Time) (*Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Model == "" {
		return s.choosePlain(a, now)
	}
	return s.chooseEngine(a, now)
}

// choosePlain takes the instance with the least work for its speed.
func (s *Assigner) choosePlain(a Ask, now time.Time) (*Choice, error) {
	var best *node
	bestCost := 0.0
	for _, n := range s.nodes {
		if n.instance.Service != a.Service || a.Avoid[n.instance.ID] || !n.ready(now) {
			continue
		}
		cost := plainCost(n, now, a)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	if best == nil {
		best = s.lastResort(a, now)
	}
	if best == nil {
		return nil, &Refused{Cause: ErrNoUpstream, RetryAfter: retryIn(now, a, 300*time.Millisecond)}
	}
	return s.place(best, a, 0, plainExpected, now), nil
}

// plainExpected is the time in which a plain service answers until more is known.
const plainExpected = 50 * time.Millisecond

// plainCost ranks instances of a plain service: the share of its places taken,
// worse for slow and failing ones. The draw by request keeps VMs that know nothing
// of each other's last choices from all taking the same one.
func plainCost(n *node, now time.Time, a Ask) float64 {
	l := n.total(now, 0)
	slots := float64(max(1, n.instance.Slots))
	jitter := float64(xxhash.Sum64String(n.instance.ID+a.Start.String())%1024) / 1024 * 0.3
	return (float64(l.requests)+0.5+jitter)/slots*n.slow + 2*n.failures
}

// lastResort returns an instance that was left alone, for want of a better one:
// a try has a chance, a refusal has none.
func (s *Assigner) lastResort(a Ask, now time.Time) *node {
	var best *node
	for _, n := range s.nodes {
		if n.instance.Service != a.Service || n.instance.Draining || a.Avoid[n.instance.ID] {
			continue
		}
		if a.Model != "" && !n.holds(itemName(a.Model, a.Adapter)) {
			continue
		}
		if best == nil || n.own.requests < best.own.requests {
			best = n
		}
	}
	if best != nil && best.silent(now) {
		return nil
	}
	return best
}

func (s *Assigner) chooseEngine(a Ask, now time.Time) (*Choice, error) {
	candidates, err := s.candidates(a, now)
	if err != nil {
		coming := (err == ErrNotLoaded || err == ErrAdapterNotLoaded) && s.canLoad(a)
		return nil, &Refused{Cause: err, RetryAfter: retryIn(now, a, waitFor(err)), Wait: coming}
	}
	perToken, due := s.paceOf(a.Model).read, a.Start.Sub(now)
	home := homeOf(candidates, a)
	best := s.cheapest(s.sample(candidates, home, a), home, a, perToken, now)
	if best == nil || best.start > due {
		best = s.cheapest(candidates, home, a, perToken, now)
	}
	if best == nil {
		cause := ErrOverloaded
		if s.cheapestOf(candidates, home, a, perToken, now, true) != nil {
			cause = ErrPaced
		}
		return nil, &Refused{Cause: cause, RetryAfter: retryIn(now, a, 500*time.Millisecond), Wait: true}
	}
	if best.start <= due {
		return s.place(best.node, a, best.uncached, best.start, now), nil
	}
	left := a.Deadline.Sub(now)
	backlog := time.Duration(best.node.total(now, perToken).prefill) * perToken
	if best.start < left && (due <= 0 || best.start-backlog > due) && backlog <= lateBacklog {
		c := s.place(best.node, a, best.uncached, best.start, now)
		c.Late = true
		return c, nil
	}
	return nil, &Refused{
		Cause: ErrOverloaded, RetryAfter: retryIn(now, a, best.start-max(due, 0)), Wait: best.start < left, Best: best.start,
	}
}

// canLoad reports whether engines of the service can load the request's model at all.
func (s *Assigner) canLoad(a Ask) bool {
	spec := s.spec(a.Service)
	if spec == nil {
		return false
	}
	_, ok := spec.Models[a.Model]
	return ok
}

// offer is what an engine can do for a request: it reads so many tokens, has the first
// event after start, and ranks by its cost.
type offer struct {
	node        *node
	uncached    int
	start, cost time.Duration
}

// cheapest returns the best offer of the engines that have a place, nil if none has.
func (s *Assigner) cheapest(engines []*node, home *node, a Ask, perToken time.Duration, now time.Time) *offer {
	return s.cheapestOf(engines, home, a, perToken, now, false)
}

// cheapestOf is the same, of engines whose streams would stand still as well if stalling is
// set.
func (s *Assigner) cheapestOf(engines []*node, home *node, a Ask, perToken time.Duration, now time.Time, stalling bool) *offer {
	var best *offer
	others, heard := s.unheardFrom(now)
	for _, n := range engines {
		uncached, current := s.uncached(n, a, n == home, now), n.total(now, perToken)
		if now.Before(n.pausedUntil[a.Model]) || s.full(current, a, uncached) {
			continue
		}
		if !stalling && s.stalls(n, a, uncached, now) {
			continue
		}
		start := startAfter(n, a, uncached, current, perToken)
		unheard := max(0, n.usual(now)-(current.prefill-n.own.prefill))
		cost := start + crowding(current) + time.Duration(unheard)*perToken + n.readSince(now.Add(-a.Pause))
		if others > 0 {
			alike := n.sentSince(heard)
			cost += time.Duration(others) * (crowding(alike) + time.Duration(alike.prefill)*perToken)
		}
		if best == nil || cost < best.cost {
			best = &offer{node: n, uncached: uncached, start: start, cost: cost}
		}
	}
	return best
}

// unheardFrom returns from how many other VMs, and since when on average, nothing was
// heard. They see the same engines and have callers of the same kind, so they are taken to
// have sent since then what this VM sent. Without that all VMs choose the one engine that
// looks idlest, such as one that has just got the model, until the next reports come: it
// reads twenty prompts in a row, and every stream that it has stands still meanwhile.
// Many VMs compare different engines each and need no such guess.
func (s *Assigner) unheardFrom(now time.Time) (vms int, since time.Time) {
	if s.vms > smallFleet {
		return 0, now
	}
	sum := time.Duration(0)
	for vm, at := range s.heardOf {
		age := now.Sub(at)
		if age > reportLifetime {
			delete(s.heardOf, vm)
			continue
		}
		vms++
		sum += age
	}
	if vms == 0 {
		return 0, now
	}
	return vms, now.Add(-sum / time.Duration(vms))
}

// sample is the engines that a request is compared at: all of them in a small fleet, else
// its home and a few that are drawn by the request. Reports reach all of many VMs at about
// the same moment, and each would send its next requests to the one engine that looks best
// in them: at 82 VMs 22,000 tokens came to an engine within a quarter of a second, while
// the idlest of sixteen that held the model had 200.
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

// candidates are the engines that hold the item and take work.
func (s *Assigner) candidates(a Ask, now time.Time) ([]*node, error) {
	var out []*node
	item := itemName(a.Model, a.Adapter)
	any, base := false, false
	for _, n := range s.nodes {
		if n.instance.Service != a.Service || n.instance.Draining {
			continue
		}
		any = true
		base = base || (n.holds(a.Model) && n.ready(now))
		if n.holds(item) && n.holds(a.Model) && n.ready(now) && !a.Avoid[n.instance.ID] {
			out = append(out, n)
		}
	}
	switch {
	case len(out) > 0:
		return out, nil
	case !any:
		return nil, ErrNoUpstream
	case !base:
		if n := s.lastResort(a, now); n != nil {
			return []*node{n}, nil
		}
		return nil, ErrNotLoaded
	case a.Adapter == "":
		// All that hold the model have failed this request.
		return nil, ErrNoUpstream
	}
	return nil, ErrAdapterNotLoaded
}

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

// full reports whether an engine with a load has no place or no memory for the request.
func (s *Assigner) full(l load, a Ask, uncached int) bool {
	spec := s.spec(a.Service)
	if spec == nil {
		return false
	}
	if l.requests >= spec.BatchSlots {
		return true
	}
	return spec.KVTokens > 0 && l.requests > 0 &&
		float64(l.kv+uncached+a.OutputTokens) > kvFill*float64(spec.KVTokens)
}

func (s *Assigner) spec(service string) *catalog.EngineSpec {
	if s.catalog == nil || s.catalog.Services[service] == nil {
		return nil
	}
	return s.catalog.Services[service].Engine
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

// crowding prefers engines with fewer requests: each makes every step longer.
func crowding(l load) time.Duration { return time.Duration(l.requests) * 2 * time.Millisecond }

// waitFor is the usual time until an item is there that is not.
func waitFor(err error) time.Duration {
	if err == ErrAdapterNotLoaded {
		return adapterWait
	}
	return loadWait
}

// retryIn is what a caller is told to wait: the time that is short, within bounds,
// and never so long that nothing of its own time is left to be served in.
func retryIn(now time.Time, a Ask, short time.Duration) time.Duration {
	left := a.Deadline.Sub(now)
	return max(minRetry, min(short, maxRetry, left/3))
}

// HoldUntil is until when a request may be held that was refused for a cause.
func (a *Ask) HoldUntil(arrived time.Time, cause error) time.Time {
	objective := a.Start.Sub(arrived)
	if errors.Is(cause, ErrPaced) {
		return arrived.Add(objective / pacedShare)
	}
	if errors.Is(cause, ErrNotLoaded) || errors.Is(cause, ErrAdapterNotLoaded) {
		return arrived.Add(objective / loadShare)
	}
	return arrived.Add(objective / holdShare)
}
