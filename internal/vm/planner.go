package vm

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
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
	// planEvery is how often the leader looks at the engines.
	planEvery = 120 * time.Millisecond
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
	// coming is the model that is being loaded.
	coming string
}

type pendingAdapter struct {
	done     chan struct{}
	instance string
	err      error
}

type reportedDemand struct {
	incarnation int64
	items       map[string]assign.Demand
}

func newPlanner(p *Process) *planner {
	return &planner{
		p: p, books: make(map[string]*book), pending: make(map[string]*pendingAdapter),
		demand: make(map[string]*reportedDemand), used: make(map[string]time.Time), rates: make(map[string]*itemRate), contents: newContentsTable(),
		settledUntil: make(map[string]time.Time), notBefore: make(map[string]time.Time),
	}
}

// run looks after the engines while this VM leads.
func (l *planner) run(ctx context.Context) error {
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.forget()
			return nil
		case <-ticker.C:
		}
		token, ok := l.p.candidate.Authority()
		if !ok {
			l.forget()
			continue
		}
		l.heardUse(l.p.assigner.InUse(), time.Now())
		l.heardDemand(l.p.settings.VM, l.p.fleet.incarnation, l.p.assigner.Demand(), time.Now())
		l.adopt(ctx, token)
		l.plan(ctx)
	}
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

// ensure brings an adapter to an engine and returns the engine's ID.
func (l *planner) ensure(ctx context.Context, service, model, adapter string) (string, error) {
	item := residency.Item(model, adapter)
	l.mu.Lock()
	if w := l.pending[item]; w != nil {
		l.mu.Unlock()
		select {
		case <-w.done:
			return w.instance, w.err
		case <-ctx.Done():
			return "", errors.Wrap(ErrOrder, ctx.Err().Error())
		}
	}
	w := &pendingAdapter{done: make(chan struct{})}
	l.pending[item] = w
	l.mu.Unlock()
	// The order goes on if the first to ask leaves: others wait for it.
	w.instance, w.err = l.bring(context.WithoutCancel(ctx), service, model, adapter)
	close(w.done)
	l.mu.Lock()
	delete(l.pending, item)
	l.mu.Unlock()
	return w.instance, w.err
}

func (l *planner) bring(ctx context.Context, service, model, adapter string) (string, error) {
	k := l.p.core.Catalog()
	if _, ok := l.p.candidate.Authority(); !ok || k == nil || k.Services[service] == nil || k.Services[service].Engine == nil {
		return "", errors.WithStack(ErrNotLeader)
	}
	spec := k.Services[service].Engine
	item := residency.Item(model, adapter)
	engines := l.engines(service)
	l.mu.Lock()
	l.used[item] = time.Now()
	for _, e := range engines {
		if e.Usable && e.Models[model] {
			if _, ok := e.Adapters[item]; ok {
				l.mu.Unlock()
				return e.ID, nil
			}
		}
	}
	l.mu.Unlock()
	move, ok := residency.PlaceAdapter(engines, spec, model, time.Now())
	if !ok {
		return "", errors.WithStack(ErrNoPlace)
	}
	b := l.book(move.Engine)
	if b == nil {
		return "", errors.WithStack(ErrNoPlace)
	}
	if err := l.swapAdapter(ctx, b, move.Evict, model, adapter, spec); err != nil {
		return "", err
	}
	sleep(ctx, adapterTime)
	l.p.assigner.AddAdapter(move.Engine, model, adapter)
	return move.Engine, nil
}

// swapAdapter unloads one adapter if need be and loads another.
func (l *planner) swapAdapter(ctx context.Context, b *book, evict, model, adapter string, spec *catalog.EngineSpec) error {
	b.orders.Lock()
	defer b.orders.Unlock()
	if evict != "" {
		oldModel, oldAdapter, _ := strings.Cut(evict, "/")
		if err := l.order(ctx, b, platform.Unload, oldModel, oldAdapter); err != nil {
			return err
		}
		l.p.assigner.RemoveItem(b.instance.ID, oldModel, oldAdapter)
	}
	l.mu.Lock()
	full := len(b.adapters) >= spec.AdapterSlots
	gone := !b.models[model]
	l.mu.Unlock()
	if full || gone {
		return errors.WithStack(ErrNoPlace)
	}
	return l.order(ctx, b, platform.Load, model, adapter)
}

// order gives one order to an engine. The engine's order lock must be held.
//
// An order whose answer is lost may be carried out seconds later. It is sent again
// with the same number of accepted orders: whichever of the two arrives first makes
// the other one void.
func (l *planner) order(ctx context.Context, b *book, op platform.Operation, model, adapter string) error {
	var last error
	for range orderTries {
		token, ok := l.p.candidate.Authority()
		if !ok || l.book(b.instance.ID) != b {
			// A book of an earlier term, or one that was closed, is no ground for orders.
			return errors.WithStack(ErrNotLeader)
		}
		l.mu.Lock()
		accepted := b.accepted
		l.mu.Unlock()
		result, err := l.p.replicas.Order(ctx, b.instance, platform.Order{
			Operation: op, Model: model, Adapter: adapter, Holder: l.p.settings.VM, Token: token, Accepted: accepted,
		})
		l.p.counter("orders." + string(op) + "." + result.String())
		l.p.log.Info().Str("event", "order").Str("instance", b.instance.ID).Str("operation", string(op)).Str("model", model).
			Str("adapter", adapter).Int64("token", token).Int64("accepted", accepted).Stringer("result", result).AnErr("cause", err).Send()
		switch result {
		case platform.OrderAccepted, platform.OrderHolds:
			l.settled(b, op, model, adapter, result)
			return nil
		case platform.OrderConflict:
			return l.conflict(ctx, b, accepted, op, model, adapter)
		case platform.OrderUnknown:
		default:
			l.closeBook(b)
			return errors.Wrapf(ErrOrder, "%s: %s", b.instance.ID, result)
		}
		last = errors.Wrapf(ErrOrder, "%s: %s", b.instance.ID, result)
	}
	l.closeBook(b)
	return last
}

// conflict tells the reasons for a conflict apart. Another order is under way: errBusy.
// An order was accepted that the book does not know: if that was this one, whose answer
// was lost, its effect is there; else the book is closed, since the decision rests on
// what the engine held before.
func (l *planner) conflict(ctx context.Context, b *book, accepted int64, op platform.Operation, model, adapter string) error {
	report, err := l.p.replicas.Report(ctx, b.instance)
	if err != nil {
		l.closeBook(b)
		return err
	}
	l.mu.Lock()
	known := report.Born == b.born
	if known && report.OrdersAccepted <= accepted {
		l.mu.Unlock()
		return errors.Wrap(errBusy, b.instance.ID)
	}
	if known && !report.Busy {
		b.read(report)
	}
	l.mu.Unlock()
	if known && !report.Busy && l.holds(b, op, model, adapter) {
		return nil
	}
	l.closeBook(b)
	return errors.Wrapf(ErrOrder, "%s: it has taken other orders", b.instance.ID)
}

// closeBook forgets an engine whose state is not certain. It is read anew.
func (l *planner) closeBook(b *book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.books[b.instance.ID] == b {
		delete(l.books, b.instance.ID)
		l.notBefore[b.instance.ID] = time.Now().Add(openPause)
	}
}

// errBusy means that an engine is carrying out another order.
var errBusy = errors.New("vm: the engine carries out another order")

// settled notes the effect of an order.
func (l *planner) settled(b *book, op platform.Operation, model, adapter string, result platform.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result == platform.OrderAccepted || (op == platform.Unload && adapter != "") {
		b.accepted++
	}
	item := residency.Item(model, adapter)
	switch {
	case adapter != "" && op == platform.Load:
		b.adapters[item] = true
	case adapter != "":
		delete(b.adapters, item)
	case op == platform.Unload:
		delete(b.models, model)
	}
}

// reread asks an engine for its state.
func (l *planner) reread(ctx context.Context, b *book) bool {
	report, err := l.p.replicas.Report(ctx, b.instance)
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b.read(report)
	return true
}

func (l *planner) holds(b *book, op platform.Operation, model, adapter string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	present := b.models[model]
	if adapter != "" {
		present = b.adapters[residency.Item(model, adapter)]
	}
	return present == (op == platform.Load)
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
			ID: id, Models: maps.Clone(b.models), Adapters: make(map[string]time.Time, len(b.adapters)), Busy: b.busy, Coming: b.coming,
			Usable: usable && !l.draining(id), Load: load.PrefillTokens, Quick: b.quick,
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

// ensureAdapter brings an adapter to an engine, through the leader if that is
// another VM.
func (p *Process) ensureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	if _, ok := p.candidate.Authority(); ok {
		return p.planner.ensure(ctx, service, model, adapter)
	}
	term, ok := p.candidate.Leader()
	if !ok || term.VM == p.settings.VM {
		return "", errors.WithStack(ErrNotLeader)
	}
	address, ok := p.fleet.peerOf(term.VM)
	if !ok {
		return "", errors.WithStack(ErrNotLeader)
	}
	var answer *peerpb.EnsureAdapterResponse
	err := p.pool.Call(ctx, address, exchangeTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = peerpb.NewVMsClient(conn).EnsureAdapter(ctx, &peerpb.EnsureAdapterRequest{Service: service, Model: model, Adapter: adapter})
		return err
	})
	if err != nil {
		return "", err
	}
	return answer.Instance, nil
}
