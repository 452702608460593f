package assign

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/cost"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamload"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// Assigner chooses upstreams. It is safe for concurrent use.
type Assigner struct {
	mu    sync.Mutex
	nodes map[string]*node
	// ownWork holds the instances at which this VM has work, or had some at the last call of Loads.
	ownWork map[string]struct{}
	// peerWork holds by VM the instances at which the VM has work, or had some lately. A report
	// of a VM is applied to these alone: hundreds of VMs report several times a second, and each
	// has work at a few of thousands of instances.
	peerWork map[string]map[string]struct{}
	catalog  *catalog.Catalog
	speeds   map[string]speed
	// demand is the total demand by item since the start.
	demand map[string]Demand
	// inUse counts the requests in flight by adapter.
	inUse map[string]int
	// onEjection is called for every ejected instance, with its failure rate and the end of
	// the ejection.
	onEjection func(instance string, failures float64, until time.Time)
	// onPlace is called with every engine that is given a request.
	onPlace func(instance string)
	// onDispatch is called with the requests that other VMs have to know of at once.
	onDispatch func(Dispatch)
	// onEstimate is called for every request with the expected and the observed time.
	onEstimate func(service string, expected, observed time.Duration)
	// self is this VM, others are the other VMs that choose upstreams. fleetKnownSince is when
	// they first became known.
	self            string
	others          []string
	fleetKnownSince time.Time
	// stallStats holds the stall statistics of streams by service.
	stallStats map[string]stallStats
	// rateLimits holds the limits that upstreams have named, rateLimitSnapshot those of the known
	// upstreams, nil after a change. brittle holds the services of the snapshot that have brittle upstreams, with the least
	// number of requests that one may reject in a second.
	rateLimits        *upstreamrate.Table
	rateLimitSnapshot *upstreamrate.Snapshot
	brittle           map[string]int
	// unconfirmed holds the brittle instances of the snapshot of whose service another one has ceased to be since.
	unconfirmed map[string]bool
	// brittleSince is when the services of brittle became so, as far as this VM knows.
	brittleSince map[string]time.Time
	// retryAt holds until when upstreams want no requests from this VM. It outlives their entries, which
	// disappear for a while when the platform's store is away.
	retryAt map[upstreamrate.Key]time.Time
	// ignoreReportedLoad is set if what upstreams report of their own work does not count. slowdownPersistence holds how long
	// reported slowdowns last, by service.
	ignoreReportedLoad  bool
	slowdownPersistence map[string]*upstreamload.Persistence
	// reporting holds the services whose upstreams report load.
	reporting map[string]bool
	// candidateBuffer is used again for every request.
	candidateBuffer []*node
	// costs holds what requests to services without engines cost, nil if that is ignored.
	costs *cost.Table
	// outputs holds how many of the announced tokens requests generate. placedAt is when the last request was placed.
	outputs  *cost.Table
	placedAt time.Time
	// prefixRates holds the rates of prompts with a shared prefix, by its hash.
	prefixRates map[uint64]prefixRate
	// ownSpeeds is this VM's evidence of the speeds of upstreams, newSpeeds the part that has changed lately.
	ownSpeeds, newSpeeds map[string]upstreamload.Evidence
	// freed is closed and replaced when a request ends, its first event arrives, or the
	// leader's record of an engine changes.
	freed chan struct{}
}

// New returns an Assigner without upstreams.
func New() *Assigner {
	return &Assigner{
		nodes: make(map[string]*node), ownWork: make(map[string]struct{}), peerWork: make(map[string]map[string]struct{}), speeds: make(map[string]speed), demand: make(map[string]Demand), inUse: make(map[string]int),
		stallStats: make(map[string]stallStats), rateLimits: upstreamrate.NewTable(), brittleSince: make(map[string]time.Time), retryAt: make(map[upstreamrate.Key]time.Time), freed: make(chan struct{}),
		slowdownPersistence: make(map[string]*upstreamload.Persistence), reporting: make(map[string]bool), costs: cost.NewTable(), outputs: cost.NewTable(),
	}
}

// OnEjection sets the function that is called for every ejected instance, with its failure
// rate and the end of the ejection. It must not block.
func (s *Assigner) OnEjection(f func(instance string, failures float64, until time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEjection = f
}

// OnPlace sets the function that is called with every engine that is given a request. It
// must not block.
func (s *Assigner) OnPlace(f func(instance string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onPlace = f
}

// OnEstimate sets the function that is called with the expected and the observed time of a request: to the first event at an
// engine, in a slot of a service without engines otherwise. It must not block.
func (s *Assigner) OnEstimate(f func(service string, expected, observed time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEstimate = f
}

// Freed returns a channel that is closed when a place may have become free.
func (s *Assigner) Freed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freed
}

func (s *Assigner) signalFreed() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// SetFleet sets the VMs that choose upstreams concurrently: this one and the others.
func (s *Assigner) SetFleet(self string, others []string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.self, s.others = self, others
	if s.fleetKnownSince.IsZero() {
		s.fleetKnownSince = now
	}
}

// SetCatalog replaces the configuration.
func (s *Assigner) SetCatalog(c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog = c
}

// SetInstances replaces the descriptions of all upstreams. The state of an incarnation that
// is already known is kept.
func (s *Assigner) SetInstances(instances []upstream.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	named := make(map[string]bool, len(instances))
	for _, i := range instances {
		named[i.ID] = true
		s.setInstance(&i)
	}
	for id := range s.nodes {
		if !named[id] {
			delete(s.nodes, id)
		}
	}
	s.rateLimitSnapshot = nil
}

// UpdateInstances replaces the descriptions of some upstreams and removes others, by ID. The
// descriptions must not be modified afterwards.
func (s *Assigner) UpdateInstances(changed []*upstream.Instance, removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range changed {
		s.setInstance(i)
	}
	for _, id := range removed {
		delete(s.nodes, id)
	}
	s.rateLimitSnapshot = nil
}

func (s *Assigner) setInstance(i *upstream.Instance) {
	if old := s.nodes[i.ID]; old != nil && old.instance.SameIncarnation(i) {
		old.update(i)
		return
	}
	s.nodes[i.ID] = newNode(i)
}

// AddAdapter records that an engine holds an adapter which its own description does not
// contain yet.
func (s *Assigner) AddAdapter(instance, model, adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.contents.add(itemName(model, adapter))
	}
}

// RemoveItem records that an engine does not hold an item.
func (s *Assigner) RemoveItem(instance, model, adapter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		n.contents.remove(itemName(model, adapter))
	}
}

// Contents is the leader's record of what an engine holds.
type Contents struct {
	// Orders is the number of orders that the engine had accepted when the record was made.
	Orders int64
	// Items are the models and adapters that can be used, Leaving the models that are being
	// unloaded.
	Items, Leaving []string
}

// SetContents replaces the leader's record of what an engine holds.
func (s *Assigner) SetContents(instance string, record Contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil && n.contents.setLeaderItems(record) {
		s.signalFreed()
	}
}

// RecordRejection records that an engine rejected a request for a model that it was expected to
// hold: the engine is full, or it is about to unload the model.
func (s *Assigner) RecordRejection(instance, model string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[instance]; n != nil {
		put(&n.backoffUntil, model, now.Add(rejectionBackoff))
	}
}

// ForgetFailures makes the instances of a service count as ones that have not failed: this VM did not reach any of them.
func (s *Assigner) ForgetFailures(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.instance.Service == service {
			n.forgetFailures()
		}
	}
	s.signalFreed()
}

// Demand is the work requested for one item.
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

// IsZero reports whether nothing was requested.
func (d Demand) IsZero() bool { return d == Demand{} }

// Demand returns the total demand by item since the start.
func (s *Assigner) Demand() map[string]Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.demand)
}

// RecordDemand adds a request to the demand for its item, if engines of the service can load it.
func (s *Assigner) RecordDemand(service, model, adapter string, promptTokens, outputTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec := s.spec(service)
	if spec == nil {
		return
	}
	configured, ok := spec.Models[model]
	if !ok {
		return
	}
	work := s.work(spec, model, promptTokens, outputTokens)
	s.addDemand(model, work)
	if configured.HasAdapter(adapter) {
		s.addDemand(itemName(model, adapter), work)
	}
}

func (s *Assigner) addDemand(item string, work time.Duration) {
	d := s.demand[item]
	d.Work += work
	d.Requests++
	s.demand[item] = d
}

// Prefixes returns the prefixes of a prompt for one item, each with the hash of all IDs up to
// its end.
func Prefixes(model, adapter string, ids []string, tokens []int) []Prefix {
	h := xxhash.New()
	_, _ = h.WriteString(itemName(model, adapter))
	out := make([]Prefix, 0, len(ids))
	sum := 0
	for i, id := range ids {
		_, _ = h.WriteString("\x00" + id)
		sum += tokens[i]
		out = append(out, Prefix{Hash: h.Sum64(), Tokens: sum})
	}
	return out
}
