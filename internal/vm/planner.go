package vm

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/residency"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

var (
	// ErrNotLeader means that this VM may give no orders.
	ErrNotLeader = errors.New("vm: this VM does not lead")
	// ErrNoPlace means that no engine can take an adapter at present.
	ErrNoPlace = errors.New("vm: no engine can take the adapter")
	// ErrOrder means that an engine did not carry an order out.
	ErrOrder = errors.New("vm: order not carried out")
)

const (
	// planEvery is how often the leader looks at the engines, and planShare the part of its
	// time that it spends on that at most: a plan for hundreds of engines takes tens of
	// milliseconds of a whole processor.
	planEvery = 120 * time.Millisecond
	planShare = 0.25
	// adapterTime is how long an adapter takes from the order to its use.
	adapterTime = 11 * time.Millisecond
	// orderTries bounds the sendings of one order.
	orderTries = 3
	// openPause is the time between two questions to an engine that has no book: it
	// may be starting, busy with an earlier leader's order, or gone.
	openPause = 600 * time.Millisecond
)

// planner gives orders while this VM leads.
type planner struct {
	p *Process

	mu    sync.Mutex
	token int64
	books map[string]*book
	// pending holds the adapters that are being brought, so that each is once.
	pending map[string]*pendingAdapter
	// demand is what each VM has reported, used when an item was last asked for.
	demand map[string]*reportedDemand
	used   map[string]time.Time
	rates  map[string]*itemRate
	// contents is what is known of the engines, by instance: on the leader from its
	// books, elsewhere from the leader. A value is replaced when it changes.
	contents contentsTable
	loads    loadBudget
	// settledUntil says until when a model stays on an engine.
	settledUntil map[string]time.Time
	// first is what is known of the engines before anybody asks for a model.
	first firstLook
	// notBefore says when an engine without a book may be asked again.
	notBefore map[string]time.Time
}

// book is what the leader knows of one engine.
type book struct {
	// orders serializes the orders to the engine.
	orders   sync.Mutex
	instance *upstream.Instance
	// born and accepted are the incarnation and the number of orders that it has
	// accepted. Models and adapters are what it holds after these orders; every order
	// names the number, so that none is carried out on top of one that is not known.
	born     int64
	accepted int64
	models   map[string]bool
	adapters map[string]bool
	quick    map[string]bool
	// inMemory is the part of quick that loads fastest.
	inMemory map[string]bool
	// busy means that a model is being moved, fromStore that its weights come from
	// the weight store.
	busy, fromStore bool
	// coming is the model that is being loaded, leaving the one that is being unloaded: it
	// is not among models any more, though the engine goes on to name it.
	coming, leaving string
	// waiting is a model that no longer counts as coming, since the unload before it takes
	// too long.
	waiting string
}

type reportedDemand struct {
	incarnation int64
	items       map[string]assign.Demand
}

func newPlanner(p *Process) *planner {
	return &planner{
		p: p, books: make(map[string]*book), pending: make(map[string]*pendingAdapter),
		demand: make(map[string]*reportedDemand), used: make(map[string]time.Time), rates: make(map[string]*itemRate), contents: newContentsTable(),
		settledUntil: make(map[string]time.Time), notBefore: make(map[string]time.Time), first: firstLook{copies: make(map[string]int)},
	}
}

// run looks after the engines while this VM leads.
func (l *planner) run(ctx context.Context) error {
	pause := planEvery
	for {
		if !l.p.candidate.HasTerm() {
			l.forget()
			l.awaitElection(ctx)
		}
		sleep(ctx, pause)
		if ctx.Err() != nil {
			l.forget()
			return nil
		}
		pause = planEvery
		token, ok := l.p.candidate.Authority()
		if !ok {
			l.forget()
			continue
		}
		l.heardUse(l.p.assigner.InUse(), time.Now())
		l.heardDemand(l.p.settings.VM, l.p.fleet.incarnation, l.p.assigner.Demand(), time.Now())
		l.adopt(ctx, token)
		began := time.Now()
		l.plan(ctx)
		pause = planPause(time.Since(began))
	}
}

// awaitElection returns when this VM has won an election, or ctx has ended. A fleet of hundreds
// has one leader, and the others need not look every planEvery whether they are it.
func (l *planner) awaitElection(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.p.candidate.Elected():
	}
}

// planPause is the time between two plans of which the last took some time.
func planPause(took time.Duration) time.Duration {
	return max(planEvery, time.Duration(float64(took)*(1-planShare)/planShare))
}

// forget drops the books of a term that has ended: another leader's orders will
// have changed what they say.
func (l *planner) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		l.token = 0
		l.books = make(map[string]*book)
		l.settledUntil = make(map[string]time.Time)
		// The next term begins without loads in hand: another leader may have begun some.
		l.loads = loadBudget{}
	}
}

// adopt opens a book for every engine that has none. The engine is asked what it
// holds, since orders of an earlier leader may not show in its heartbeats yet.
func (l *planner) adopt(ctx context.Context, token int64) {
	instances := *l.p.instances.Load()
	k := l.p.core.Catalog()
	if k == nil {
		return
	}
	l.mu.Lock()
	if l.token != token {
		l.token, l.books = token, make(map[string]*book)
	}
	now := time.Now()
	var fresh []*upstream.Instance
	for id, b := range l.books {
		if i := instances[id]; i == nil || !i.Same(b.instance) {
			delete(l.books, id)
			delete(l.notBefore, id)
		}
	}
	for id, i := range instances {
		s := k.Services[i.Service]
		if s != nil && s.Engine != nil && l.books[id] == nil && !i.Draining && now.After(l.notBefore[id]) {
			l.notBefore[id] = now.Add(openPause)
			fresh = append(fresh, i)
		}
	}
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, i := range fresh {
		wg.Go(func() { l.open(ctx, token, i) })
	}
	wg.Wait()
}

func (l *planner) open(ctx context.Context, token int64, i *upstream.Instance) {
	report, err := l.p.replicas.Report(ctx, i)
	if err != nil {
		l.p.log.Warn().Str("event", "engine_not_read").Str("instance", i.ID).AnErr("cause", err).Send()
		return
	}
	if report.Busy {
		// What is being loaded does not show among the models: an order on top of it
		// could overfill the engine, which would crash.
		return
	}
	b := &book{instance: i}
	b.read(report)
	l.p.log.Info().Str("event", "engine_read").Str("instance", i.ID).Strs("models", slices.Sorted(maps.Keys(b.models))).
		Strs("adapters", slices.Sorted(maps.Keys(b.adapters))).Strs("quick", slices.Sorted(maps.Keys(b.quick))).
		Int64("accepted", b.accepted).Bool("busy", b.busy).Send()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == token {
		l.books[i.ID] = b
		l.found(b, l.p.candidate.HasPredecessor(), time.Now())
	}
}

// read takes a report over. Reports are some hundred milliseconds old: one from
// before the last order that was accepted says nothing.
func (b *book) read(r *platform.Report) {
	if r.Born == b.born && r.OrdersAccepted < b.accepted {
		return
	}
	b.born, b.accepted = r.Born, r.OrdersAccepted
	b.models, b.adapters = make(map[string]bool), make(map[string]bool)
	b.quick, b.inMemory = make(map[string]bool), make(map[string]bool)
	for _, m := range r.Models {
		b.models[m.Model] = true
		for _, a := range m.Adapters {
			b.adapters[residency.Item(m.Model, a)] = true
		}
	}
	for _, item := range r.Incoming {
		b.adapters[item] = true
	}
	for _, m := range slices.Concat(r.InMemory, r.OnDisk) {
		b.quick[m] = true
	}
	for _, m := range r.InMemory {
		b.inMemory[m] = true
	}
}

func (l *planner) book(id string) *book {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.books[id]
}

// engines returns the state of a service's engines for decisions.
func (l *planner) engines(service string) []residency.Engine {
	loads := l.p.assigner.Totals(time.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]residency.Engine, 0, len(l.books))
	for id, b := range l.books {
		if b.instance.Service != service {
			continue
		}
		load, usable := loads[id]
		e := residency.Engine{
			ID: id, Models: maps.Clone(b.models), Adapters: make(map[string]time.Time, len(b.adapters)), Busy: b.busy, Loading: b.coming,
			Usable: usable && !l.draining(id), PrefillBacklog: load.PrefillTokens, LocalWeights: b.quick, InFlight: load.Running, DelayedLoad: b.waiting,
		}
		for item := range b.adapters {
			e.Adapters[item] = l.used[item]
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b residency.Engine) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// draining reports whether an instance leaves or is gone.
func (l *planner) draining(id string) bool {
	i := l.p.instance(id)
	return i == nil || i.Draining
}
