package assign

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

const (
	// defaultPerToken is the time in which an engine reads a token of a prompt
	// until it has been measured: some 30,000 tokens a second, as large models do
	// on one accelerator.
	defaultPerToken = 30 * time.Microsecond
	// perTokenMemory is the weight that an observation keeps in that figure.
	perTokenMemory = 0.9
	// measureFrom is the number of tokens from which the time to the first event
	// tells of the pace at which prompts are read.
	measureFrom = 1000
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
	// loadWait is what a caller is told whose model or adapter is on no engine: the
	// time of a load from an engine's own disk.
	loadWait = time.Second
	// adapterWait is the same for an adapter that could not be brought at once.
	adapterWait = 250 * time.Millisecond
	// minRetry and maxRetry bound what callers are told to wait.
	minRetry = 100 * time.Millisecond
	maxRetry = 4 * time.Second
)

// Assigner chooses upstreams. It is safe for concurrent use.
type Assigner struct {
	mu       sync.Mutex
	nodes    map[string]*node
	catalog  *catalog.Catalog
	perToken map[string]time.Duration
	// demand counts what was asked for by item since the start.
	demand map[string]Demand
	// inUse counts the requests in flight by adapter.
	inUse map[string]int
	// believe is told when an instance is left alone, with its failure rate and until
	// when.
	believe func(instance string, failures float64, until time.Time)
	// freed is closed when work ends or starts, and replaced.
	freed chan struct{}
}

// New returns an Assigner that knows no upstreams.
func New() *Assigner {
	return &Assigner{
		nodes: make(map[string]*node), perToken: make(map[string]time.Duration), demand: make(map[string]Demand), inUse: make(map[string]int),
		freed: make(chan struct{}),
	}
}

// OnEjection sets what is told of every instance that is left alone for a while. It
// must not block.
func (s *Assigner) OnEjection(f func(instance string, failures float64, until time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.believe = f
}

// Freed returns a channel that is closed when a place may have become free.
func (s *Assigner) Freed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

func (s *Assigner) signal() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// SetCatalog takes a newer configuration.
func (s *Assigner) SetCatalog(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = c
}

// SetInstances replaces what is known of the upstreams. An incarnation that was
// known keeps its history.
func (s *Assigner) SetInstances(instances []upstream.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]*node, len(instances))
	for _, i := range instances {
		old := s.nodes[i.ID]
		if old != nil && old.instance.Same(&i) {
			old.describe(i)
			next[i.ID] = old
			continue
		}
		next[i.ID] = newNode(i)
	}
	s.nodes = next
}

// AddAdapter notes that an engine holds an adapter which its own description does
// not name yet.
func (s *Assigner) AddAdapter(instance, model, adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.contents.add(itemName(model, adapter))
	}
}

// RemoveItem notes that an engine does not hold an item.
func (s *Assigner) RemoveItem(instance, model, adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.contents.miss(itemName(model, adapter))
	}
}

// SetContents takes what the leader knows of an engine after a number of accepted
// orders.
func (s *Assigner) SetContents(instance string, orders int64, items []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.contents.reported(orders, items)
	}
}

// SetOthers takes another VM's report of its work by instance.
func (s *Assigner) SetOthers(vm string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.nodes {
		l, ok := loads[id]
		if !ok {
			delete(n.others, vm)
			continue
		}
		n.others[vm] = reported{load: load{requests: l.Requests, prefill: l.PrefillTokens, kv: l.KVTokens}, at: now}
	}
}

// Load is work in flight at an instance.
type Load struct {
	Requests, PrefillTokens, KVTokens int
}

// Loads returns this VM's work by instance.
func (s *Assigner) Loads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load)
	for id, n := range s.nodes {
		if n.own.requests > 0 {
			out[id] = Load{Requests: n.own.requests, PrefillTokens: n.own.prefill, KVTokens: n.own.kv}
		}
	}
	return out
}

// Totals returns the work of all VMs at the instances that take work.
func (s *Assigner) Totals(now time.Time) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(s.nodes))
	for id, n := range s.nodes {
		if n.ready(now) {
			t := n.total(now, defaultPerToken)
			out[id] = Load{Requests: t.requests, PrefillTokens: t.prefill, KVTokens: t.kv}
		}
	}
	return out
}

// Demand is what was asked for of one item.
type Demand struct {
	Tokens, Requests int64
}

// Demand returns what was asked for by item since the start.
func (s *Assigner) Demand() map[string]Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.demand)
}

// Offered counts a request towards the demand for its item.
func (s *Assigner) Offered(model, adapter string, tokens int) {
	if model == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count(model, tokens)
	if adapter != "" {
		s.count(itemName(model, adapter), tokens)
	}
}

func (s *Assigner) count(item string, tokens int) {
	d := s.demand[item]
	d.Tokens += int64(tokens)
	d.Requests++
	s.demand[item] = d
}

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
		return nil, &Refused{Cause: err, RetryAfter: retryIn(now, a, waitFor(err))}
	}
	perToken := s.pace(a.Model)
	home := homeOf(candidates, a)
	var best *node
	var bestCost, bestStart time.Duration
	bestUncached := 0
	full := 0
	for _, n := range candidates {
		uncached := s.uncached(n, a, n == home, now)
		if s.full(n, a, uncached, now) {
			full++
			continue
		}
		start := s.startAfter(n, a, uncached, perToken, now)
		cost := start + crowding(n.total(now, perToken))
		if best == nil || cost < bestCost {
			best, bestCost, bestStart, bestUncached = n, cost, start, uncached
		}
	}
	if best == nil {
		return nil, &Refused{Cause: ErrOverloaded, RetryAfter: retryIn(now, a, 500*time.Millisecond), Wait: true}
	}
	due := a.Start.Sub(now)
	if bestStart <= due {
		return s.place(best, a, bestUncached, bestStart, now), nil
	}
	left := a.Deadline.Sub(now)
	backlog := time.Duration(best.total(now, perToken).prefill) * perToken
	if bestStart < left && (due <= 0 || bestStart-backlog > due) && backlog <= lateBacklog {
		c := s.place(best, a, bestUncached, bestStart, now)
		c.Late = true
		return c, nil
	}
	return nil, &Refused{
		Cause: ErrOverloaded, RetryAfter: retryIn(now, a, bestStart-max(due, 0)), Wait: bestStart < left, Best: bestStart,
	}
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
		weight := mix(xxhash.Sum64String(n.instance.ID) ^ shared)
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

// full reports whether the engine has no place or no memory for the request.
func (s *Assigner) full(n *node, a Ask, uncached int, now time.Time) bool {
	spec := s.spec(a.Service)
	if spec == nil {
		return false
	}
	l := n.total(now, 0)
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

// startAfter is the expected time to the first event.
func (s *Assigner) startAfter(n *node, a Ask, uncached int, perToken time.Duration, now time.Time) time.Duration {
	backlog := time.Duration(n.total(now, perToken).prefill) * perToken
	if a.Urgency == 0 {
		backlog = time.Duration(urgentShare * float64(backlog))
	}
	work := backlog + time.Duration(uncached)*perToken + stepTime
	return time.Duration(float64(work) * n.slow)
}

// crowding prefers engines with fewer requests: each makes every step longer.
func crowding(l load) time.Duration { return time.Duration(l.requests) * 2 * time.Millisecond }

// place books the work.
func (s *Assigner) place(n *node, a Ask, uncached int, expected time.Duration, now time.Time) *Choice {
	c := &Choice{Instance: n.instance.ID, Uncached: uncached, Expected: expected, node: n, ask: a, at: now}
	c.kv = uncached + a.OutputTokens/2
	n.own.requests++
	n.own.prefill += uncached
	n.own.kv += c.kv
	n.waiting[c] = struct{}{}
	if a.Adapter != "" {
		s.inUse[itemName(a.Model, a.Adapter)]++
	}
	return c
}

func (s *Assigner) pace(model string) time.Duration {
	if p, ok := s.perToken[model]; ok {
		return p
	}
	return defaultPerToken
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

// HoldUntil is until when a request may be held for a place.
func (a *Ask) HoldUntil(arrived time.Time) time.Time {
	return arrived.Add(a.Start.Sub(arrived) / holdShare)
}

// Started notes a choice's first event, or the answer of a plain service.
func (s *Assigner) Started(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.started || c.done {
		return
	}
	c.started = true
	n := c.node
	n.heard = now
	delete(n.waiting, c)
	n.own.prefill -= c.Uncached
	if c.ask.Model == "" {
		return
	}
	s.signal()
	n.remember(c.ask, now)
	s.learn(n, c, now.Sub(c.at))
}

// Heard notes a sign of life of the choice's instance.
func (s *Assigner) Heard(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.node.heard = now
}

// learn compares the time to the first event with what was expected.
func (s *Assigner) learn(n *node, c *Choice, took time.Duration) {
	ratio := float64(took) / float64(max(c.Expected, stepTime))
	n.slow = slowMemory*n.slow + (1-slowMemory)*min(max(ratio*n.slow, 0.5), slowMost)
	n.slow = max(n.slow, 0.7)
	if c.Uncached < measureFrom || len(n.waiting) > 0 {
		return
	}
	seen := (took - stepTime) / time.Duration(c.Uncached)
	seen = min(max(seen, defaultPerToken/8), defaultPerToken*8)
	old := s.pace(c.ask.Model)
	s.perToken[c.ask.Model] = time.Duration(perTokenMemory*float64(old) + (1-perTokenMemory)*float64(seen))
}

// Outcome is how an exchange ended for the upstream.
type Outcome int

// The outcomes. Neutral tells nothing about the upstream, as when the caller left.
const (
	Succeeded Outcome = iota
	Failed
	Neutral
)

// Finish gives a place back.
func (s *Assigner) Finish(c *Choice, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	n := c.node
	delete(n.waiting, c)
	if !c.started {
		n.own.prefill -= c.Uncached
	}
	n.own.requests--
	n.own.kv -= c.kv
	s.release(c.ask)
	s.signal()
	switch o {
	case Succeeded:
		n.succeeded(now)
	case Failed:
		if n.failed(now) && s.believe != nil {
			s.believe(n.instance.ID, n.failures, n.ejectedUntil)
		}
	}
}

// release counts an adapter's request as ended.
func (s *Assigner) release(a Ask) {
	if a.Adapter == "" {
		return
	}
	item := itemName(a.Model, a.Adapter)
	if s.inUse[item]--; s.inUse[item] <= 0 {
		delete(s.inUse, item)
	}
}

// InUse names the adapters that requests in flight use, "model/adapter".
func (s *Assigner) InUse() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.inUse))
}

// Parts hashes the leading parts of a prompt of one item.
func Parts(model, adapter string, ids []string, tokens []int) []Part {
	h := xxhash.New()
	_, _ = h.WriteString(itemName(model, adapter))
	out := make([]Part, 0, len(ids))
	sum := 0
	for i, id := range ids {
		_, _ = h.WriteString("\x00" + id)
		sum += tokens[i]
		out = append(out, Part{Hash: h.Sum64(), Tokens: sum})
	}
	return out
}
