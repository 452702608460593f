package assign

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// maxKVShare is the part of an engine's KV cache that requests in flight may take.
	// Beyond it an engine preempts requests in the middle of their streams.
	maxKVShare = 0.85
	// maxLateBacklog is the largest backlog of an engine that is given a request whose
	// objective is already missed. Such a request is worth little, so it goes only to an
	// engine with a small backlog.
	maxLateBacklog = 150 * time.Millisecond
	// holdDivisor sets how long a request may be held for a place before it is refused: its
	// objective divided by this.
	holdDivisor = 8
	// loadHoldDivisor is the same for a model or an adapter that no engine holds yet.
	// Either is loaded as soon as it is requested, from an engine's own disk within a
	// second, and a caller who is refused would come back later than that.
	loadHoldDivisor = 2
	// pacedHoldDivisor is the same for a request that waits until the engines have
	// prefilled what they have: its turn comes within a few prompts.
	pacedHoldDivisor = 2
	// reserveDivisor sets how much of an engine's KV cache is left free by requests that come last, queueDivisor how many
	// requests that come first may wait at an engine: its cache and its slots divided by these.
	reserveDivisor = 16
	queueDivisor   = 2
	// loadRetryAfter is the retry delay for a model that no engine holds: the time of a
	// load from an engine's own disk.
	loadRetryAfter = time.Second
	// adapterRetryAfter is the same for an adapter that could not be loaded at once.
	adapterRetryAfter = 250 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delays returned to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Choose reserves a place at an upstream for a request. The error is always a *Refused.
func (s *Assigner) Choose(req Request, now time.Time) (*Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRetryAt(now)
	choice, err := s.choose(req, now)
	if err != nil {
		return nil, err
	}
	s.reserve(choice, now)
	return choice, nil
}

// choose chooses an upstream for a request and changes nothing. It must be called with the lock held.
func (s *Assigner) choose(req Request, now time.Time) (*Choice, error) {
	if req.Model == "" {
		return s.choosePlain(req, now)
	}
	return s.chooseEngine(req, now)
}

// choosePlain chooses the instance with the least work for its speed, for a service without
// engines.
func (s *Assigner) choosePlain(req Request, now time.Time) (*Choice, error) {
	best := s.cheapestPlain(available, req, now)
	if best == nil {
		best = s.cheapestPlain(lastChoice, req, now)
	}
	if best == nil {
		best = s.lastResort(req, now)
	}
	if best == nil {
		return nil, s.refuseWithoutInstance(req, now)
	}
	return s.newChoice(best, req, 0, plainExpected, now), nil
}

// refuseWithoutInstance refuses a request to a service without engines for which no instance is
// available.
func (s *Assigner) refuseWithoutInstance(req Request, now time.Time) *Refused {
	if refused := s.refuseUntilAccepted(req, now); refused != nil {
		return refused
	}
	if req.Version != "" {
		return &Refused{Cause: ErrVersionNotServed}
	}
	return &Refused{Cause: ErrNoUpstream, RetryAfter: retryAfter(now, req, max(s.warmIn(req, now), 300*time.Millisecond))}
}

// jitter returns a number from 0 to 1 that differs between requests, and for a request between salts.
func (req *Request) jitter(salt string) float64 {
	return float64(xxhash.Sum64String(salt+req.StartBy.String())%1024) / 1024
}

// lastResort returns an ejected instance if no other can be chosen: a try may succeed, a
// refusal cannot. It returns nil if there is none, or it is unresponsive and the request may not be sent there.
func (s *Assigner) lastResort(req Request, now time.Time) *node {
	var best *node
	for _, n := range s.nodes {
		if !req.admits(n) || s.availability(n, req, now) == unavailable {
			continue
		}
		if !n.holdsItemOf(req) {
			continue
		}
		if best == nil || n.local.requests < best.local.requests {
			best = n
		}
	}
	if best != nil && best.unresponsive(now) && !(req.AllowUnresponsive && best.mayAnswerInTime(req, now)) {
		return nil
	}
	return best
}

func (s *Assigner) chooseEngine(req Request, now time.Time) (*Choice, error) {
	engines, err := s.candidates(req, now)
	if err != nil {
		if choice, ok := s.chooseLast(req, now); ok {
			return choice, nil
		}
		return nil, s.refuseWithoutEngine(req, err, now)
	}
	choice, err := s.chooseAmong(engines, req, now)
	if err == nil {
		return choice, nil
	}
	if last, ok := s.chooseLast(req, now); ok {
		return last, nil
	}
	return nil, err
}

// refuseWithoutEngine refuses a request for which no engine is available, for the reason cause.
func (s *Assigner) refuseWithoutEngine(req Request, cause error, now time.Time) *Refused {
	if cause != ErrAdapterNotLoaded {
		if refused := s.refuseUntilAccepted(req, now); refused != nil {
			return refused
		}
	}
	if req.Version != "" && (cause == ErrNoUpstream || cause == ErrNotLoaded) && s.warmIn(req, now) == 0 {
		// Models are placed without regard to versions, unless the leader is asked for one.
		return &Refused{Cause: ErrVersionNotServed}
	}
	wait := loadTimeFor(cause)
	if warm := s.warmIn(req, now); warm > 0 && cause != ErrAdapterNotLoaded {
		cause, wait = ErrCold, warm
	}
	holdable := cause == ErrCold || ((cause == ErrNotLoaded || cause == ErrAdapterNotLoaded) && s.canLoad(req))
	return &Refused{Cause: cause, RetryAfter: retryAfter(now, req, wait), Holdable: holdable}
}

// chooseLast chooses among the engines that get only requests which no available engine can take.
// It returns false if none of them can start the request in time.
func (s *Assigner) chooseLast(req Request, now time.Time) (*Choice, bool) {
	var engines []*node
	for _, n := range s.nodes {
		if s.canServe(n, req, now) && s.availability(n, req, now) == lastChoice {
			engines = append(engines, n)
		}
	}
	if len(engines) == 0 {
		return nil, false
	}
	perToken := s.speedOf(req.Model).prefillPerToken
	best := s.cheapest(engines, nil, req, perToken, now)
	if best == nil || best.start > req.StartBy.Sub(now) {
		return nil, false
	}
	return s.newChoice(best.node, req, best.uncached, best.start, now), true
}

// chooseAmong chooses among available engines that hold the item.
func (s *Assigner) chooseAmong(candidates []*node, req Request, now time.Time) (*Choice, error) {
	perToken, due := s.speedOf(req.Model).prefillPerToken, req.StartBy.Sub(now)
	preferred := preferredEngine(candidates, req)
	if best := s.cheapest(s.unconfirmedOf(candidates), preferred, req, perToken, now); best != nil && best.start <= due {
		return s.newChoice(best.node, req, best.uncached, best.start, now), nil
	}
	if best := s.cheapestHolder(candidates, req, perToken, now); best != nil && best.start <= due {
		return s.newChoice(best.node, req, best.uncached, best.start, now), nil
	}
	best := s.cheapest(s.sample(candidates, preferred, req), preferred, req, perToken, now)
	if best == nil || best.start > due {
		best = s.cheapest(candidates, preferred, req, perToken, now)
	}
	if best == nil {
		cause := s.rejectionCause(candidates, preferred, req, perToken, now)
		return nil, &Refused{Cause: cause, RetryAfter: retryAfter(now, req, 500*time.Millisecond), Holdable: true}
	}
	if best.start <= due {
		return s.newChoice(best.node, req, best.uncached, best.start, now), nil
	}
	remaining := req.Deadline.Sub(now)
	backlog := time.Duration(best.node.total(now, perToken).prefillTokens) * perToken
	if best.start < remaining && (due <= 0 || best.start-backlog > due) && backlog <= maxLateBacklog {
		c := s.newChoice(best.node, req, best.uncached, best.start, now)
		c.Late = true
		return c, nil
	}
	return nil, &Refused{
		Cause: ErrOverloaded, RetryAfter: retryAfter(now, req, best.start-max(due, 0)), Holdable: best.start < remaining, EarliestStart: best.start,
	}
}

// rejectionCause returns why no engine can take the request: all are full, or one has a
// place but its streams would stall.
func (s *Assigner) rejectionCause(engines []*node, preferred *node, req Request, perToken time.Duration, now time.Time) error {
	for _, n := range engines {
		if s.hasPlace(n, req, s.uncached(n, req, n == preferred, now), n.total(now, perToken), now) {
			return ErrPrefillPaced
		}
	}
	return ErrOverloaded
}

// hasPlace reports whether an engine with the load l can take a request.
func (s *Assigner) hasPlace(n *node, req Request, uncached int, l load, now time.Time) bool {
	return !now.Before(n.backoffUntil[req.Model]) && !s.full(l, req, uncached)
}

// canLoad reports whether engines of the service can load the request's model at all.
func (s *Assigner) canLoad(req Request) bool {
	spec := s.spec(req.Service)
	if spec == nil {
		return false
	}
	_, ok := spec.Models[req.Model]
	return ok
}

// candidates returns the available engines that hold the item.
func (s *Assigner) candidates(req Request, now time.Time) ([]*node, error) {
	var out []*node
	hasInstance, holdsModel := false, false
	for _, n := range s.nodes {
		if !req.allows(n) || n.instance.Draining {
			continue
		}
		hasInstance = true
		if !n.holds(req.Model) || !n.responsive(now) || s.availability(n, req, now) != available {
			continue
		}
		holdsModel = true
		if s.canServe(n, req, now) {
			out = append(out, n)
		}
	}
	switch {
	case len(out) > 0:
		return out, nil
	case !hasInstance:
		return nil, ErrNoUpstream
	case !holdsModel:
		if n := s.lastResort(req, now); n != nil {
			return []*node{n}, nil
		}
		return nil, ErrNotLoaded
	case req.Adapter == "":
		// All engines that hold the model have failed this request.
		return nil, ErrNoUpstream
	}
	return nil, ErrAdapterNotLoaded
}

// canServe reports whether an instance answers requests and holds the item, and the request may be
// sent there.
func (s *Assigner) canServe(n *node, req Request, now time.Time) bool {
	return req.admits(n) && n.responsive(now) && n.holds(req.Model) && n.holds(itemName(req.Model, req.Adapter))
}

// admits reports whether the request may be sent to an instance that has not failed it before.
func (req *Request) admits(n *node) bool { return req.allows(n) && !req.Avoid[n.instance.ID] }

// allows reports whether an instance belongs to the request's service and to a region in which the
// request may run, and has the version that the request is bound to.
func (req *Request) allows(n *node) bool {
	return n.instance.Service == req.Service && req.allowsVersion(n) && (req.RegionAllowed == nil || req.RegionAllowed(n.instance.Region))
}

// allowsVersion reports whether an instance has the software version that the request is bound to, if it is.
func (req *Request) allowsVersion(n *node) bool {
	return req.Version == "" || n.instance.SoftwareVersion == req.Version
}

// full reports whether an engine with the load l has no free batch slot or not enough KV
// cache for the request.
func (s *Assigner) full(l load, req Request, uncached int) bool {
	spec := s.spec(req.Service)
	if spec == nil {
		return false
	}
	if l.requests >= req.usableSlots(spec.BatchSlots) {
		return true
	}
	return spec.KVTokens > 0 && l.requests > 0 &&
		float64(l.kvTokens+uncached+req.OutputTokens) > maxKVShare*float64(req.usableKV(spec.KVTokens))
}

// usableSlots returns how many requests an engine may have once it is given the request.
func (req *Request) usableSlots(slots int) int {
	if req.Room == RoomFirst {
		return slots + (slots+queueDivisor-1)/queueDivisor
	}
	return slots
}

// usableKV returns how many of an engine's tokens may be in use once it is given the request.
func (req *Request) usableKV(tokens int) int {
	if req.Room == RoomLast {
		return tokens - tokens/reserveDivisor
	}
	return tokens
}

// service returns a service of the configuration, nil if there is none of that name.
func (s *Assigner) service(name string) *catalog.Service {
	if s.catalog == nil {
		return nil
	}
	return s.catalog.Services[name]
}

// spec returns the properties of a service's engines, nil if it has none.
func (s *Assigner) spec(name string) *catalog.EngineSpec {
	service := s.service(name)
	if service == nil {
		return nil
	}
	return service.Engine
}

// loadTimeFor returns the usual time until the item that err reports as missing is loaded.
func loadTimeFor(err error) time.Duration {
	if err == ErrAdapterNotLoaded {
		return adapterRetryAfter
	}
	return loadRetryAfter
}

// retryAfter returns the retry delay for a caller: the shortfall, but at most a third of
// the time left until the caller's deadline, so that some of it remains to be served in.
// minRetryAfter and maxRetryAfter bound the result.
func retryAfter(now time.Time, req Request, shortfall time.Duration) time.Duration {
	remaining := req.Deadline.Sub(now)
	return max(minRetryAfter, min(shortfall, maxRetryAfter, remaining/3))
}

// HoldUntil returns until when a request may be held after Choose refused it with cause.
// arrived is when the request arrived.
func (req *Request) HoldUntil(arrived time.Time, cause error) time.Time {
	objective := req.StartBy.Sub(arrived)
	if errors.Is(cause, ErrPrefillPaced) {
		return arrived.Add(objective / pacedHoldDivisor)
	}
	if errors.Is(cause, ErrNotLoaded) || errors.Is(cause, ErrAdapterNotLoaded) || errors.Is(cause, ErrCold) || errors.Is(cause, ErrRateLimited) || errors.Is(cause, ErrRetryLater) {
		return arrived.Add(objective / loadHoldDivisor)
	}
	return arrived.Add(objective / holdDivisor)
}
