package assign

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// Assigner chooses upstreams. It is safe for concurrent use.
type Assigner struct {
	mu      sync.Mutex
	nodes   map[string]*node
	catalog *catalog.Catalog
	paces   map[string]pace
	// demand counts what was asked for by item since the start.
	demand map[string]Demand
	// inUse counts the requests in flight by adapter.
	inUse map[string]int
	// believe is told when an instance is left alone, with its failure rate and until
	// when.
	believe func(instance string, failures float64, until time.Time)
	// placed is told of every engine that is given a request.
	placed func(instance string)
	// vms is how many VMs choose.
	vms int
	// pausing is what is known of the pauses of streams by service.
	pausing map[string]pausing
	// freed is closed when work ends or starts, and replaced.
	freed chan struct{}
}

// New returns an Assigner that knows no upstreams.
func New() *Assigner {
	return &Assigner{
		nodes: make(map[string]*node), paces: make(map[string]pace), demand: make(map[string]Demand), inUse: make(map[string]int),
		pausing: make(map[string]pausing), freed: make(chan struct{}),
	}
}

// OnEjection sets what is told of every instance that is left alone for a while. It
// must not block.
func (s *Assigner) OnEjection(f func(instance string, failures float64, until time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.believe = f
}

// OnPlace sets what is told of every engine that is given a request. It must not block.
func (s *Assigner) OnPlace(f func(instance string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placed = f
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

// SetVMs says how many VMs choose beside each other, this one included.
func (s *Assigner) SetVMs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = n
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

// Contents is what the leader knows of an engine.
type Contents struct {
	// Orders is the number of orders that the engine had accepted by then.
	Orders int64
	// Items are the models and adapters that can be used, Leaving the models that are
	// being unloaded.
	Items, Leaving []string
}

// SetContents takes what the leader knows of an engine.
func (s *Assigner) SetContents(instance string, k Contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil && n.contents.reported(k) {
		s.signal()
	}
}

// TurnedAway notes that an engine refused a request for a model that it was taken to
// hold: it is full, or it is about to unload the model.
func (s *Assigner) TurnedAway(instance, model string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.pausedUntil[model] = now.Add(refusalPause)
	}
}

// Demand is what was asked for of one item.
type Demand struct {
	// Work is the engine time that the requests take.
	Work     time.Duration
	Requests int64
}

// Add returns the sum of two demands.
func (d Demand) Add(other Demand) Demand {
	return Demand{Work: d.Work + other.Work, Requests: d.Requests + other.Requests}
}

// Sub returns the difference of two demands.
func (d Demand) Sub(other Demand) Demand {
	return Demand{Work: d.Work - other.Work, Requests: d.Requests - other.Requests}
}

// IsZero reports whether nothing was asked for.
func (d Demand) IsZero() bool { return d == Demand{} }

// Demand returns what was asked for by item since the start.
func (s *Assigner) Demand() map[string]Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.demand)
}

// Offered counts a request towards the demand for its item.
func (s *Assigner) Offered(service, model, adapter string, promptTokens, outputTokens int) {
	if model == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	work := s.work(s.spec(service), model, promptTokens, outputTokens)
	s.count(model, work)
	if adapter != "" {
		s.count(itemName(model, adapter), work)
	}
}

func (s *Assigner) count(item string, work time.Duration) {
	d := s.demand[item]
	d.Work += work
	d.Requests++
	s.demand[item] = d
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
