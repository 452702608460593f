package planner

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/order"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Bounds on what is under way at once.
const (
	maxStoreCalls  = 16
	maxEngineCalls = 64
	eventBuffer    = 256
	// stepGap is the shortest time between two decisions, so that a burst of
	// answers from many engines costs one decision. A decision looks at every
	// engine, so in a large fleet the gap is stepGapPerEngine for each.
	stepGap          = 10 * time.Millisecond
	stepGapPerEngine = 250 * time.Microsecond
	// planShare bounds the share of time that planning takes: after a plan it
	// pauses for as many times the plan's own time.
	planShare = 100
	// failurePause delays the result of a failed call to the key-value
	// service, which bounds how often an outage is probed.
	failurePause = 250 * time.Millisecond
)

// leadership is the state of one term. Its run method owns it; the calls that
// it starts hand their results back through events.
type leadership struct {
	planner *Planner
	term    *term
	log     zerolog.Logger
	book    *order.Book
	events  chan func()
	calls   *errgroup.Group
	// slots bounds the calls to each side, so that engines that do not answer
	// keep no call to the key-value service waiting.
	storeSlots  chan struct{}
	engineSlots chan struct{}
	urls        map[string]string

	snapshot *configstate.Snapshot
	planned  time.Time
	// planTook is how long the last plan took.
	planTook time.Duration
	plan     placement.Plan
	demand   *demand.Estimator
	rates    map[placement.Name]float64
	renewing bool
	lost     error
}

func newLeadership(p *Planner, t *term, log zerolog.Logger) *leadership {
	o := p.options.Order
	o.Prefix = p.options.prefix()
	o.Fence = t.fence
	return &leadership{
		planner: p,
		term:    t,
		log:     log,
		book:    order.NewBook(o),
		events:  make(chan func(), eventBuffer),
		demand:  demand.NewEstimator(p.options.Demand),

		storeSlots:  make(chan struct{}, maxStoreCalls),
		engineSlots: make(chan struct{}, maxEngineCalls),
	}
}

// run works until the term or ctx ends and returns why.
func (l *leadership) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	calls, ctx := errgroup.WithContext(ctx)
	l.calls = calls
	defer func() {
		cancel()
		_ = calls.Wait()
	}()
	ticker := time.NewTicker(l.planner.options.StepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			event()
			l.drain()
		case <-ticker.C:
		}
		if err := l.step(ctx); err != nil {
			return err
		}
		if !pause(ctx, max(stepGap, time.Duration(len(l.urls))*stepGapPerEngine)) {
			return ctx.Err()
		}
	}
}

// drain takes in every event that waits.
func (l *leadership) drain() {
	for {
		select {
		case event := <-l.events:
			event()
		default:
			return
		}
	}
}

func (l *leadership) step(ctx context.Context) error {
	now := l.planner.options.Clock()
	switch {
	case l.lost != nil:
		return l.lost
	case l.book.Deposed():
		return errors.Wrap(errDeposed, "a later leader has taken over")
	case !l.term.valid(now, l.planner.options.LeaseTTL):
		return errors.Wrap(errDeposed, "the lease was not renewed in time")
	}
	l.keepLease(ctx, now)
	l.replan(now)
	for _, action := range l.book.Next(now.Wall) {
		l.carryOut(ctx, action)
	}
	return nil
}

// keepLease renews the lease when a third of it has gone.
func (l *leadership) keepLease(ctx context.Context, now clock.Reading) {
	const renewals = 3
	due := clock.Elapsed(l.term.renewed, now) >= l.planner.options.LeaseTTL/renewals
	if l.renewing || !due {
		return
	}
	l.renewing = true
	l.call(ctx, l.storeSlots, func() func() {
		sent, err := l.planner.renew(ctx, l.term.lease)
		if err != nil {
			pause(ctx, failurePause)
		}
		return func() { l.renewed(sent, err) }
	})
}

func (l *leadership) renewed(sent clock.Reading, err error) {
	l.renewing = false
	switch {
	case err == nil:
		l.term.renewed = sent
	case errors.Is(err, kv.ErrLeaseGone):
		l.lost = errors.Wrap(errDeposed, "the lease is gone")
	}
}

// replan makes a new plan when it is time or the document has changed.
func (l *leadership) replan(now clock.Reading) {
	snapshot := l.planner.options.Config()
	changed := snapshot != l.snapshot
	every := max(l.planner.options.PlanEvery, planShare*l.planTook)
	if !changed && now.Wall.Sub(l.planned) < every {
		return
	}
	l.planned = now.Wall
	l.hearDemand(now.Wall)
	l.rates = l.demand.Rates(now.Wall)
	l.snapshot = snapshot
	goal := goalOf(snapshot.Document)
	l.urls = urlsOf(snapshot.Document)
	if changed {
		store := snapshot.Document.WeightStore
		l.book.SetBudget(store.LoadsPerSecond, store.ConcurrentLoads)
		// The engines must be known before they can be looked at.
		goal.Assignments = l.plan.Assignments
		l.book.SetGoal(goal)
	}
	if l.book.Surveyed(now.Wall) {
		view := l.book.View(now.Wall)
		l.plan = placement.Make(placement.Input{
			Models:  snapshot.Document.Models,
			Engines: view,
			Demand:  l.rates,
			Quiet:   l.book.Quiet(now.Wall),
			Options: l.planner.options.Placement,
		})
		goal.SetPlan(l.plan, view)
		l.book.SetGoal(goal)
	}
	l.publish(now)
	l.planTook = clock.Elapsed(now, l.planner.options.Clock())
	l.planner.planTimer.Update(l.planTook)
}

func urlsOf(doc *document.Document) map[string]string {
	urls := make(map[string]string, len(doc.Engines))
	for _, e := range doc.Engines {
		urls[e.Name] = e.URL
	}
	return urls
}

func goalOf(doc *document.Document) order.Goal {
	g := order.Goal{
		Versions: make(map[placement.Name]string),
		Memory:   make(map[placement.Item]int64),
	}
	add := func(item placement.Item, memory document.Bytes) {
		g.Versions[item.Name()] = item.Version
		g.Memory[item] = int64(memory)
	}
	for _, m := range doc.Models {
		add(placement.Item{Model: m.Name, Version: m.Version}, m.Memory)
		for _, a := range m.Adapters {
			add(placement.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, a.Memory)
		}
	}
	for _, e := range doc.Engines {
		g.Engines = append(g.Engines, order.EngineSpec{
			Name:          e.Name,
			FailureDomain: e.FailureDomain,
			Capacity:      int64(e.Memory - e.KVCacheReserve),
		})
	}
	return g
}
