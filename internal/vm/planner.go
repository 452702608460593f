package vm

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

var (
	// ErrNotLeader means that this VM may not give orders.
	ErrNotLeader = errors.New("vm: this VM is not the leader")
	// ErrNoPlace means that no engine can load an adapter at present.
	ErrNoPlace = errors.New("vm: no engine can load the adapter")
	// ErrOrder means that an engine did not carry out an order.
	ErrOrder = errors.New("vm: order not carried out")
)

const (
	// planInterval is the shortest time between two plans of the leader, and maxPlanShare the
	// largest fraction of its time that planning may take: a plan for hundreds of engines
	// takes tens of milliseconds of a whole processor.
	planInterval = 120 * time.Millisecond
	maxPlanShare = 0.25
	// adapterLoadTime is how long it takes from the order to load an adapter until the adapter
	// can be used.
	adapterLoadTime = 11 * time.Millisecond
	// maxOrderAttempts is how often one order is sent at most.
	maxOrderAttempts = 3
	// readRetryInterval is the time between two attempts to read the state of an engine
	// without a valid engineState: the engine may be starting, busy with an earlier leader's
	// order, or gone.
	readRetryInterval = 600 * time.Millisecond
	// maxConcurrentReads is how many engines a new leader reads at once. Each read opens a connection
	// and parses an answer within the time of an engine call; thousands at once would exceed it.
	maxConcurrentReads = 64
	// maxKeptConnections is the number of engines up to which the leader keeps the connections over
	// which it read them. Of thousands, few get an order soon, and each connection takes memory.
	maxKeptConnections = 256
)

// planner gives orders while this VM leads.
type planner struct {
	p *Process

	mu     sync.Mutex
	token  int64
	states map[string]*engineState
	// pendingAdapters holds the adapters that are being loaded, by item, so that concurrent
	// callers share one load.
	pendingAdapters map[string]*pendingAdapter
	// wanted holds the models that streams wait for at a software version, until the next plan.
	wanted map[wantedModel]*pendingModel
	// demandByVM is the demand that each VM has reported, lastUsed the time of the last
	// request for an item, demandRates the averaged demand for it.
	demandByVM  map[string]*reportedDemand
	lastUsed    map[string]time.Time
	demandRates map[string]*demandRate
	// contents holds the known contents of the engines, by instance: on the leader from its
	// engine states, on other VMs from the leader. A value is replaced when it changes.
	contents   contentsTable
	loadBucket loadBucket
	// pinnedUntil is the time before which a model is not evicted from an engine.
	pinnedUntil map[string]time.Time
	// missingSince holds the models in demand that no engine holds, by service, with the time since which that is so.
	missingSince map[string]map[string]time.Time
	// startup is what this VM found on the engines before the first request.
	startup startupInventory
	// readNotBefore is when an engine without a valid state may be read again, by instance.
	readNotBefore map[string]time.Time
}

// engineState is the state of one engine as the leader knows it. It is valid while
// planner.states holds it.
type engineState struct {
	// orderMu serializes the orders to the engine.
	orderMu  sync.Mutex
	instance *upstream.Instance
	// born is the engine's incarnation, ordersAccepted the number of orders that this
	// incarnation has accepted. models and adapters are what the engine holds after these
	// orders. Every order names the number, so that none is carried out on top of an order
	// that the leader does not know.
	born           int64
	ordersAccepted int64
	models         map[string]bool
	adapters       map[string]bool
	localWeights   map[string]bool
	// inMemory is the part of localWeights that loads fastest.
	inMemory map[string]bool
	// moving reports that a model is being moved, fromStore that its weights come from the
	// weight store.
	moving, fromStore bool
	// loading is the model that is being loaded, unloading the one that is being unloaded.
	// The latter is no longer in models, although the engine still reports it.
	loading, unloading string
	// delayedLoad is a model that no longer counts as loading, since the unload before it
	// takes too long.
	delayedLoad string
	// published reports that other VMs are told of the state, because it differs or has differed
	// from the engine's entry in the store.
	published bool
}

type reportedDemand struct {
	incarnation int64
	totals      map[string]assign.Demand
}

func newPlanner(p *Process) *planner {
	return &planner{
		p: p, states: make(map[string]*engineState), pendingAdapters: make(map[string]*pendingAdapter), wanted: make(map[wantedModel]*pendingModel),
		demandByVM: make(map[string]*reportedDemand), lastUsed: make(map[string]time.Time), demandRates: make(map[string]*demandRate), contents: newContentsTable(),
		pinnedUntil: make(map[string]time.Time), missingSince: make(map[string]map[string]time.Time), readNotBefore: make(map[string]time.Time), startup: startupInventory{copies: make(map[string]int)},
	}
}

// run plans and gives orders while this VM leads, until ctx ends.
func (l *planner) run(ctx context.Context) error {
	pause := planInterval
	for {
		if !l.p.candidate.HasTerm() {
			l.endTerm()
			l.awaitElection(ctx)
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			l.endTerm()
			return nil
		}
		pause = planInterval
		token, ok := l.p.candidate.Authority()
		if !ok {
			l.endTerm()
			continue
		}
		l.recordAdapterUse(l.p.assigner.InUse(), time.Now())
		l.recordDemand(l.p.settings.VM, l.p.fleet.incarnation, l.p.assigner.Demand(), time.Now())
		l.readNewEngines(ctx, token)
		began := time.Now()
		l.planMoves(ctx)
		pause = planPause(time.Since(began))
	}
}

// awaitElection returns when this VM has won an election, or ctx has ended. Hundreds of VMs have
// one leader, and the others need not check every planInterval whether they lead.
func (l *planner) awaitElection(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.p.candidate.Elected():
	}
}

// planPause returns the pause after a plan that took some time.
func planPause(took time.Duration) time.Duration {
	return max(planInterval, time.Duration(float64(took)*(1-maxPlanShare)/maxPlanShare))
}

// endTerm drops the engine states of a term that has ended: orders of another leader may have
// changed the engines since.
func (l *planner) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		l.token = 0
		l.states = make(map[string]*engineState)
		l.pinnedUntil, l.missingSince = make(map[string]time.Time), make(map[string]map[string]time.Time)
		// The next term begins with an empty bucket: another leader may have begun loads.
		l.loadBucket = loadBucket{}
	}
	for key, pending := range l.wanted {
		close(pending.done)
		delete(l.wanted, key)
	}
}

// readNewEngines reads the state of every engine without a valid one. It asks the engine
// itself, since its heartbeats may not yet show orders of an earlier leader.
func (l *planner) readNewEngines(ctx context.Context, token int64) {
	instances := *l.p.instances.Load()
	k := l.p.core.Catalog()
	if k == nil {
		return
	}
	l.mu.Lock()
	if l.token != token {
		l.token, l.states = token, make(map[string]*engineState)
	}
	now := time.Now()
	var unread []*upstream.Instance
	for id, state := range l.states {
		if i := instances[id]; i == nil || !i.SameIncarnation(state.instance) {
			delete(l.states, id)
			delete(l.readNotBefore, id)
		}
	}
	for id, i := range instances {
		s := k.Services[i.Service]
		if s != nil && s.Engine != nil && l.states[id] == nil && !i.Draining && now.After(l.readNotBefore[id]) {
			l.readNotBefore[id] = now.Add(readRetryInterval)
			unread = append(unread, i)
		}
	}
	l.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentReads)
	for _, i := range unread {
		group.Go(func() error {
			l.readEngine(ctx, token, i)
			if len(unread) > maxKeptConnections {
				l.p.replicas.Pool.CloseIdle(i.Address)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (l *planner) readEngine(ctx context.Context, token int64, i *upstream.Instance) {
	report, err := l.p.replicas.Report(ctx, i)
	if err != nil {
		revision, age := l.p.entryState(i.ID)
		l.p.log.Warn().Str("event", "engine_not_read").Str("instance", i.ID).AnErr("cause", err).
			Stringer("revision", revision).Dur("entry_age_ms", age).Send()
		return
	}
	if report.Busy {
		// A model that is being loaded is not listed among the models. An order on top of it
		// could overfill the engine, which would crash.
		return
	}
	state := &engineState{instance: i}
	state.update(report)
	l.p.log.Info().Str("event", "engine_read").Str("instance", i.ID).Strs("models", slices.Sorted(maps.Keys(state.models))).
		Strs("adapters", slices.Sorted(maps.Keys(state.adapters))).Strs("quick", slices.Sorted(maps.Keys(state.localWeights))).
		Int64("accepted", state.ordersAccepted).Bool("busy", state.moving).Send()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == token {
		l.states[i.ID] = state
		l.recordFound(state, l.p.candidate.HasPredecessor(), time.Now())
	}
}

// update replaces the state by a report. Reports are some hundred milliseconds old: one from
// before the last accepted order is ignored.
func (s *engineState) update(r *platform.Report) {
	if r.Incarnation == s.born && r.OrdersAccepted < s.ordersAccepted {
		return
	}
	s.born, s.ordersAccepted = r.Incarnation, r.OrdersAccepted
	s.models, s.adapters = make(map[string]bool), make(map[string]bool)
	s.localWeights, s.inMemory = make(map[string]bool), make(map[string]bool)
	for _, m := range r.Models {
		s.models[m.Model] = true
		for _, a := range m.Adapters {
			s.adapters[residency.Item(m.Model, a)] = true
		}
	}
	for _, item := range r.Incoming {
		s.adapters[item] = true
	}
	for _, m := range slices.Concat(r.InMemory, r.OnDisk) {
		s.localWeights[m] = true
	}
	for _, m := range r.InMemory {
		s.inMemory[m] = true
	}
}

func (l *planner) state(id string) *engineState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.states[id]
}

// engines returns the engines of a service, ordered by ID, as input of a plan.
func (l *planner) engines(service string) []residency.Engine {
	return l.enginesWith(func(state *engineState) bool { return state.instance.Service == service })
}

// enginesHolding returns the engines of a service that hold a model, ordered by ID.
func (l *planner) enginesHolding(service, model string) []residency.Engine {
	return l.enginesWith(func(state *engineState) bool { return state.instance.Service == service && state.models[model] })
}

// enginesWith returns the engines for which wanted returns true, ordered by ID. wanted is called
// with the lock held.
func (l *planner) enginesWith(wanted func(*engineState) bool) []residency.Engine {
	now := time.Now()
	ids := l.engineIDs(wanted)
	loads, cold := l.p.assigner.Totals(ids, now), l.p.assigner.Cold(now)
	limits := l.p.assigner.RateLimits().InForce()
	l.mu.Lock()
	defer l.mu.Unlock()
	work := 0.0
	if len(limits) > 0 {
		work = l.meanWork(now)
	}
	out := make([]residency.Engine, 0, len(ids))
	for _, id := range ids {
		state := l.states[id]
		if state == nil {
			continue
		}
		load, usable := loads[id]
		e := l.snapshotLocked(state)
		e.Version, e.Busy, e.Loading, e.Cold, e.Usable = state.instance.SoftwareVersion, state.moving, state.loading, cold[id], usable && !l.isDraining(id)
		e.PrefillBacklog, e.LocalWeights, e.InFlight, e.DelayedLoad = load.PrefillTokens, state.localWeights, load.Running, state.delayedLoad
		if perSecond, ok := limits[id]; ok {
			e.RateLimited, e.Occupied = true, max(0, 1-perSecond*work)
		}
		out = append(out, e)
	}
	return out
}

// engineIDs returns the IDs of the engines for which wanted returns true, in order.
func (l *planner) engineIDs(wanted func(*engineState) bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, state := range l.states {
		if wanted(state) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isDraining reports whether an instance is draining or gone.
func (l *planner) isDraining(id string) bool {
	i := l.p.instance(id)
	return i == nil || i.Draining
}
