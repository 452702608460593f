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
	// ErrNoReplica means that no engine that may take new work has the item.
	ErrNoReplica = errors.New("route: no engine serves the item")
	// ErrBusy means that every engine with the item has all it can take.
	ErrBusy = errors.New("route: every engine with the item is busy")
	// ErrPartUsed means that this VM's part of the item's limit is used up.
	ErrPartUsed = errors.New("route: this VM's part of the item's limit is used up")
)

// Router chooses engines. It belongs to one goroutine.
type Router struct {
	options Options
	fleet   *Fleet
	engines map[string]*tracked
	adapter map[Item]int
	spread  float64
	turn    uint64
	// serving holds the engines with an item, for the items that were asked for
	// since the fleet came. Without it each choice would look at every engine.
	serving map[Item][]*candidate
	faults  faults
}

// faults are planted by tests, to show that their oracles find them.
type faults struct {
	// trustReports takes the last report alone for the load.
	trustReports bool
	// keepLeaving offers engines that are leaving.
	keepLeaving bool
	// ejectAll ejects without a bound.
	ejectAll bool
	// ignorePart disregards this VM's part of an adapter's limit.
	ignorePart bool
}

// candidate is an engine with what this VM knows of it.
type candidate struct {
	*Engine
	state *tracked
}

// New returns a router with an empty fleet.
func New(o Options) *Router {
	return &Router{
		options: o.withDefaults(),
		fleet:   &Fleet{},
		engines: make(map[string]*tracked),
		adapter: make(map[Item]int),
		serving: make(map[Item][]*candidate),
		spread:  1,
	}
}

// SetFleet takes a new snapshot. What is known of engines that are gone is
// forgotten once nothing of this VM runs there.
func (r *Router) SetFleet(f *Fleet) {
	r.fleet = f
	clear(r.serving)
	present := make(map[string]bool, len(f.Engines))
	for i := range f.Engines {
		e := &f.Engines[i]
		present[e.Name] = true
		r.tracked(e.Name).settle(e.ReportedAt, r.options.ReportLag)
	}
	for name, t := range r.engines {
		if !present[name] && t.inFlight == 0 {
			delete(r.engines, name)
		}
	}
}

// SetSpread says how many times this VM's dispatches all VMs make together, by
// their heartbeats. It is at least 1.
func (r *Router) SetSpread(s float64) {
	r.spread = max(1, s)
}

func (r *Router) tracked(name string) *tracked {
	t := r.engines[name]
	if t == nil {
		t = &tracked{hash: xxhash.Sum64String(name)}
		r.engines[name] = t
	}
	return t
}

// Request is what a choice depends on.
type Request struct {
	// Item is what is asked for.
	Item Item
	// Version is the version in force. Engines that have it ready go first.
	Version string
	// Prefix is the prompt's, or NoPrefix.
	Prefix Prefix
	// Limited means that the item has a limit over all VMs, of which MaxInFlight
	// is this VM's part.
	Limited     bool
	MaxInFlight int
	// Avoid names engines that have failed this request already.
	Avoid []string
}

// Available returns nil if an engine can be picked for a request now, and
// otherwise ErrNoReplica, ErrBusy or ErrPartUsed. It draws no random number.
func (r *Router) Available(q Request, now time.Time) error {
	_, err := r.free(q, now)
	return err
}

// Pick returns the engine for a request, which must then be told to Started. It
// returns ErrNoReplica, ErrBusy or ErrPartUsed. Equal random numbers give equal choices.
func (r *Router) Pick(q Request, now time.Time, rng *rand.Rand) (Engine, error) {
	free, err := r.free(q, now)
	if err != nil {
		return Engine{}, err
	}
	return *r.choose(free, q, rng).Engine, nil
}

// free returns the engines that can take a request now.
func (r *Router) free(q Request, now time.Time) ([]*candidate, error) {
	candidates := r.candidates(q, now)
	if len(candidates) == 0 {
		return nil, ErrNoReplica
	}
	if q.Limited && r.adapter[q.Item] >= q.MaxInFlight && !r.faults.ignorePart {
		return nil, ErrPartUsed
	}
	free := slices.DeleteFunc(candidates, r.full)
	if len(free) == 0 {
		return nil, ErrBusy
	}
	return free, nil
}

// candidates returns the engines that may serve a request: those with the
// version in force, else those with any. Ejected engines come only if there are
// no others, since a slow answer is better than none.
func (r *Router) candidates(q Request, now time.Time) []*candidate {
	var current, other, ejected []*candidate
	for _, e := range r.with(q.Item) {
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

// with returns the engines that take work and have an item ready.
func (r *Router) with(i Item) []*candidate {
	all, known := r.serving[i]
	if known {
		return all
	}
	for n := range r.fleet.Engines {
		e := &r.fleet.Engines[n]
		if r.takesWork(e) && e.Serves(i) {
			all = append(all, &candidate{Engine: e, state: r.tracked(e.Name)})
		}
	}
	r.serving[i] = all
	return all
}

func (r *Router) takesWork(e *Engine) bool {
	return e.Reachable && (!e.Leaving || r.faults.keepLeaving)
}

// choose orders the free candidates by the policy and returns the first.
func (r *Router) choose(free []*candidate, q Request, rng *rand.Rand) *candidate {
	switch r.options.Policy {
	case PolicyRoundRobin:
		r.turn++
		return free[r.turn%uint64(len(free))]
	case PolicyLeastLoad:
		return r.least(free)
	}
	if q.Prefix == NoPrefix {
		return r.lesserOfTwo(free, rng)
	}
	return r.byPrefix(free, q.Prefix, rng)
}

// byPrefix takes the first engines of the prefix's order while their load is
// near the mean, and the lesser of two of the others after that. Without the
// bound, one popular text would fill a single engine while others stand idle.
func (r *Router) byPrefix(free []*candidate, p Prefix, rng *rand.Rand) *candidate {
	slices.SortFunc(free, func(a, b *candidate) int {
		return cmp.Compare(p.score(b.state.hash), p.score(a.state.hash))
	})
	bound := max(r.options.FreeLoad, r.options.LoadFactor*(r.mean(free)+1))
	preferred := min(r.options.Affinity, len(free))
	for _, e := range free[:preferred] {
		if r.load(e)+1 <= bound {
			return e
		}
	}
	if rest := free[preferred:]; len(rest) > 0 {
		return r.lesserOfTwo(rest, rng)
	}
	return r.least(free)
}

func (r *Router) mean(engines []*candidate) float64 {
	sum := 0.0
	for _, e := range engines {
		sum += r.load(e)
	}
	return sum / float64(len(engines))
}

// lesserOfTwo takes the less loaded of two engines drawn at random. With lagging
// reports it spreads better than the least loaded of all, which every VM would
// pick at once.
func (r *Router) lesserOfTwo(engines []*candidate, rng *rand.Rand) *candidate {
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

func (r *Router) least(engines []*candidate) *candidate {
	best := engines[0]
	for _, e := range engines[1:] {
		if r.load(e) < r.load(best) {
			best = e
		}
	}
	return best
}
