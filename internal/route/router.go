package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

var (
	// ErrNoReplica means that no engine that accepts new requests has the item ready.
	ErrNoReplica = errors.New("route: no engine that accepts requests serves the requested item")
	// ErrBusy means that every engine with the item is at capacity.
	ErrBusy = errors.New("route: every engine that serves the requested item is at capacity")
	// ErrShareUsed means that this VM's share of the item's limit is used up.
	ErrShareUsed = errors.New("route: this VM's share of the item's in-flight limit is used up")
)

// Router selects engines for requests. It is not safe for concurrent use.
type Router struct {
	options         Options
	fleet           *Fleet
	engines         map[string]*engineState
	adapterInFlight map[Item]int
	fleetMultiplier float64
	roundRobinTurn  uint64
	// serving caches the engines that serve an item, for the items requested since
	// the last SetFleet. Without it each selection would scan every engine.
	serving map[Item][]*candidate
	faults  faults
}

// faults are injected by tests, to show that their oracles detect them.
type faults struct {
	// trustReports uses the last report alone as the load.
	trustReports bool
	// keepLeaving keeps engines that are leaving among the candidates.
	keepLeaving bool
	// ejectAll ejects engines without the MaxEjected limit.
	ejectAll bool
	// ignorePart ignores this VM's share of an adapter's limit.
	ignorePart bool
}

// candidate is an engine with the local state that the router keeps for it.
type candidate struct {
	*Engine
	state *engineState
}

// New returns a router with an empty fleet.
func New(o Options) *Router {
	return &Router{
		options:         o.withDefaults(),
		fleet:           &Fleet{},
		engines:         make(map[string]*engineState),
		adapterInFlight: make(map[Item]int),
		serving:         make(map[Item][]*candidate),
		fleetMultiplier: 1,
	}
}

// SetFleet replaces the fleet snapshot. The state of engines that are no longer
// listed is deleted by a call that finds no request of this VM in flight there.
func (r *Router) SetFleet(f *Fleet) {
	r.fleet = f
	clear(r.serving)
	present := make(map[string]bool, len(f.Engines))
	for i := range f.Engines {
		e := &f.Engines[i]
		present[e.Name] = true
		r.stateOf(e.Name).discardReported(e.ReportedAt, r.options.ReportLag)
	}
	for name, t := range r.engines {
		if !present[name] && t.inFlight == 0 {
			delete(r.engines, name)
		}
	}
}

// SetFleetMultiplier sets the ratio of all VMs' dispatches to this VM's dispatches, as
// derived from heartbeats. Values below 1 count as 1.
func (r *Router) SetFleetMultiplier(multiplier float64) {
	r.fleetMultiplier = max(1, multiplier)
}

func (r *Router) stateOf(name string) *engineState {
	t := r.engines[name]
	if t == nil {
		t = &engineState{hash: xxhash.Sum64String(name)}
		r.engines[name] = t
	}
	return t
}

// Request holds the properties of a request that determine its engine.
type Request struct {
	// Item is the requested item.
	Item Item
	// Version is the item's version in force. Engines that have it ready are
	// preferred.
	Version string
	// Prefix is the hash of the prompt's prefix, or NoPrefix.
	Prefix Prefix
	// Limited means that the item has an in-flight limit over all VMs, of which
	// MaxInFlight is this VM's share.
	Limited     bool
	MaxInFlight int
	// Avoid names engines that have already failed this request.
	Avoid []string
}

// Available returns nil if Pick would find an engine for the request now, and
// otherwise ErrNoReplica, ErrBusy or ErrShareUsed. It draws no random numbers.
func (r *Router) Available(q Request, now time.Time) error {
	_, err := r.available(q, now)
	return err
}

// Pick returns the engine for a request. The caller must then pass the engine to
// Started. Pick returns ErrNoReplica, ErrBusy or ErrShareUsed if there is none. Equal
// random numbers give equal results.
func (r *Router) Pick(q Request, now time.Time, rng *rand.Rand) (Engine, error) {
	free, err := r.available(q, now)
	if err != nil {
		return Engine{}, err
	}
	return *r.choose(free, q, rng).Engine, nil
}

// available returns the candidates for a request that have capacity now.
func (r *Router) available(q Request, now time.Time) ([]*candidate, error) {
	candidates := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil, ErrNoReplica
	}
	if q.Limited && r.adapterInFlight[q.Item] >= q.MaxInFlight && !r.faults.ignorePart {
		return nil, ErrShareUsed
	}
	free := slices.DeleteFunc(candidates, r.atCapacity)
	if len(free) == 0 {
		return nil, ErrBusy
	}
	return free, nil
}

// candidates returns the engines that may serve a request: those with the version in
// force, or else those with any version. Ejected engines are returned only if there
// are no others, because a slow response is better than none.
func (r *Router) candidates(q Request, now time.Time) []*candidate {
	var current, other, ejected []*candidate
	for _, e := range r.enginesServing(q.Item) {
		if slices.Contains(q.Avoid, e.Name) {
			continue
		}
		switch {
		case now.Before(e.state.ejectedUntil):
			ejected = append(ejected, e)
		case slices.Contains(e.Ready[q.Item], q.Version):
			current = append(current, e)
		default:
			other = append(other, e)
		}
	}
	if len(current) > 0 {
		return current
	}
	if len(other) > 0 {
		return other
	}
	return ejected
}

// enginesServing returns the engines that accept requests and have the item ready.
func (r *Router) enginesServing(i Item) []*candidate {
	all, cached := r.serving[i]
	if cached {
		return all
	}
	for n := range r.fleet.Engines {
		e := &r.fleet.Engines[n]
		if r.acceptsRequests(e) && e.Serves(i) {
			all = append(all, &candidate{Engine: e, state: r.stateOf(e.Name)})
		}
	}
	r.serving[i] = all
	return all
}

func (r *Router) acceptsRequests(e *Engine) bool {
	return e.Reachable && (!e.Leaving || r.faults.keepLeaving)
}

// choose returns the candidate that the policy ranks first among those with capacity.
func (r *Router) choose(free []*candidate, q Request, rng *rand.Rand) *candidate {
	switch r.options.Policy {
	case PolicyRoundRobin:
		r.roundRobinTurn++
		return free[r.roundRobinTurn%uint64(len(free))]
	case PolicyLeastLoad:
		return r.leastLoaded(free)
	}
	if q.Prefix == NoPrefix {
		return r.lessLoadedOfTwo(free, rng)
	}
	return r.byPrefix(free, q.Prefix, rng)
}

// byPrefix returns the first of the prefix's preferred engines whose load is within
// the bound, or else the less loaded of two random other engines. Without the bound,
// one popular prompt would fill a single engine while others are idle.
func (r *Router) byPrefix(free []*candidate, p Prefix, rng *rand.Rand) *candidate {
	slices.SortFunc(free, func(a, b *candidate) int {
		return cmp.Compare(p.score(b.state.hash), p.score(a.state.hash))
	})
	bound := max(r.options.MinLoadBound, r.options.LoadFactor*(r.meanLoad(free)+1))
	preferred := min(r.options.Affinity, len(free))
	for _, e := range free[:preferred] {
		if r.load(e)+1 <= bound {
			return e
		}
	}
	if rest := free[preferred:]; len(rest) > 0 {
		return r.lessLoadedOfTwo(rest, rng)
	}
	return r.leastLoaded(free)
}

func (r *Router) meanLoad(engines []*candidate) float64 {
	sum := 0.0
	for _, e := range engines {
		sum += r.load(e)
	}
	return sum / float64(len(engines))
}

// lessLoadedOfTwo returns the less loaded of two engines drawn at random (power of
// two choices). With lagging reports this spreads load better than the least loaded
// engine of all, which every VM would select at the same time.
func (r *Router) lessLoadedOfTwo(engines []*candidate, rng *rand.Rand) *candidate {
	if len(engines) == 1 {
		return engines[0]
	}
	first := rng.IntN(len(engines))
	second := rng.IntN(len(engines) - 1)
	if second >= first {
		second++
	}
	a, b := engines[first], engines[second]
	if r.load(b) < r.load(a) {
		return b
	}
	return a
}

func (r *Router) leastLoaded(engines []*candidate) *candidate {
	best := engines[0]
	for _, e := range engines[1:] {
		if r.load(e) < r.load(best) {
			best = e
		}
	}
	return best
}
