package assign

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// kvFill is the part of an engine's KV cache that requests in flight may take.
	// Beyond it an engine preempts requests in the middle of their streams.
	kvFill = 0.85
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
		cause := s.causeOfNoOffer(candidates, home, a, perToken, now)
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

// causeOfNoOffer says why no engine makes an offer: all are full, or one has a place but its
// streams would stand still.
func (s *Assigner) causeOfNoOffer(engines []*node, home *node, a Ask, perToken time.Duration, now time.Time) error {
	for _, n := range engines {
		if s.hasPlace(n, a, s.uncached(n, a, n == home, now), n.total(now, perToken), now) {
			return ErrPaced
		}
	}
	return ErrOverloaded
}

// hasPlace reports whether an engine with a load can take a request.
func (s *Assigner) hasPlace(n *node, a Ask, uncached int, l load, now time.Time) bool {
	return !now.Before(n.pausedUntil[a.Model]) && !s.full(l, a, uncached)
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
