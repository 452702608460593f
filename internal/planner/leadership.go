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

// Bounds on concurrent work and on how often it is done.
const (
	maxStoreCalls    = 16
	maxEngineCalls   = 64
	completionBuffer = 256
	// minStepInterval is the shortest time between two decisions, so that a
	// burst of responses from many engines causes one decision. A decision
	// examines every engine, so in a large fleet the time is
	// minStepIntervalPerEngine for each engine.
	minStepInterval          = 10 * time.Millisecond
	minStepIntervalPerEngine = 250 * time.Microsecond
	// planPauseFactor limits the part of the time that is spent on planning. While
	// the configuration does not change, the time from the start of a plan to the
	// start of the next is at least planPauseFactor times the duration of the first.
	planPauseFactor = 100
	// storeFailureDelay delays the result of a failed call to the key-value
	// service, which bounds how often the service is called during an outage.
	storeFailureDelay = 250 * time.Millisecond
)

// leadership is the state of one term. Its run method owns it; the calls that
// it starts return their results through completions.
type leadership struct {
	planner     *Planner
	term        *term
	log         zerolog.Logger
	reconciler  *order.Reconciler
	completions chan func()
	calls       *errgroup.Group
	// The slots bound the concurrent calls to the key-value service and to the
	// engines separately, so that engines that do not respond delay no call to
	// the service.
	storeSlots  chan struct{}
	engineSlots chan struct{}
	engineURLs  map[string]string

	snapshot  *configstate.Snapshot
	plannedAt time.Time
	// planDuration is how long the last plan took.
	planDuration time.Duration
	plan         placement.Plan
	estimator    *demand.Estimator
	demandRates  map[placement.Name]float64
	renewing     bool
	lostErr      error
}

func newLeadership(p *Planner, t *term, log zerolog.Logger) *leadership {
	o := p.options.Order
	o.Prefix = p.options.prefix()
	o.Fence = t.fence
	return &leadership{
		planner:     p,
		term:        t,
		log:         log,
		reconciler:  order.NewReconciler(o),
		completions: make(chan func(), completionBuffer),
		estimator:   demand.NewEstimator(p.options.Demand),

		storeSlots:  make(chan struct{}, maxStoreCalls),
		engineSlots: make(chan struct{}, maxEngineCalls),
	}
}

// run works until the term or ctx ends and returns the reason.
func (l *leadership) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	calls, ctx := errgroup.WithContext(ctx)
	l.calls = calls
	defer func() {
		cancel()
		_ = calls.Wait()
	}()
	ticker := time.NewTicker(l.planner.options.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case complete := <-l.completions:
			complete()
			l.runQueuedCompletions()
		case <-ticker.C:
		}
		if err := l.step(ctx); err != nil {
			return err
		}
		if !sleep(ctx, max(minStepInterval, time.Duration(len(l.engineURLs))*minStepIntervalPerEngine)) {
			return ctx.Err()
		}
	}
}

// runQueuedCompletions runs every completion that is queued.
func (l *leadership) runQueuedCompletions() {
	for {
		select {
		case complete := <-l.completions:
			complete()
		default:
			return
		}
	}
}

func (l *leadership) step(ctx context.Context) error {
	now := l.planner.options.Clock()
	switch {
	case l.lostErr != nil:
		return l.lostErr
	case l.reconciler.Deposed():
		return errors.Wrap(errLeadershipLost, "a later leader has taken over")
	case !l.term.valid(now, l.planner.options.LeaseTTL):
		return errors.Wrap(errLeadershipLost, "the lease was not renewed within its TTL less the safety margin")
	}
	l.renewLeaseIfDue(ctx, now)
	l.replanIfDue(now)
	for _, action := range l.reconciler.Next(now.Wall) {
		l.execute(ctx, action)
	}
	return nil
}

// renewLeaseIfDue renews the lease once a third of it has elapsed.
func (l *leadership) renewLeaseIfDue(ctx context.Context, now clock.Reading) {
	const renewals = 3
	due := clock.Elapsed(l.term.renewedAt, now) >= l.planner.options.LeaseTTL/renewals
	if l.renewing || !due {
		return
	}
	l.renewing = true
	l.startCall(ctx, l.storeSlots, func() func() {
		sent, err := l.planner.renewLease(ctx, l.term.lease)
		if err != nil {
			sleep(ctx, storeFailureDelay)
		}
		return func() { l.leaseRenewed(sent, err) }
	})
}

func (l *leadership) leaseRenewed(sent clock.Reading, err error) {
	l.renewing = false
	switch {
	case err == nil:
		l.term.renewedAt = sent
	case errors.Is(err, kv.ErrLeaseGone):
		l.lostErr = errors.Wrap(errLeadershipLost, "the key-value service no longer has the lease")
	}
}

// replanIfDue updates the demand rates and, once the reconciler has surveyed the engines,
// makes a new plan. It does so at once if the configuration snapshot has changed, else
// after PlanInterval, or after planPauseFactor times the duration of the last plan if that
// is longer.
func (l *leadership) replanIfDue(now clock.Reading) {
	snapshot := l.planner.options.Config()
	changed := snapshot != l.snapshot
	interval := max(l.planner.options.PlanInterval, planPauseFactor*l.planDuration)
	if !changed && now.Wall.Sub(l.plannedAt) < interval {
		return
	}
	l.plannedAt = now.Wall
	l.receiveDemandReports(now.Wall)
	l.demandRates = l.estimator.Rates(now.Wall)
	l.snapshot = snapshot
	goal := goalOf(snapshot.Document)
	l.engineURLs = urlsOf(snapshot.Document)
	if changed {
		store := snapshot.Document.WeightStore
		l.reconciler.SetLoadLimits(store.LoadsPerSecond, store.ConcurrentLoads)
		// The reconciler polls the engines of its goal, and no plan is made before it
		// has surveyed them. Until then the goal has the new document's engines and the
		// last plan's assignments.
		goal.Assignments = l.plan.Assignments
		l.reconciler.SetGoal(goal)
	}
	if l.reconciler.Surveyed(now.Wall) {
		view := l.reconciler.View(now.Wall)
		l.plan = placement.NewPlan(placement.Input{
			Models:  snapshot.Document.Models,
			Engines: view,
			Demand:  l.demandRates,
			Stable:  l.reconciler.Stable(now.Wall),
			Options: l.planner.options.Placement,
		})
		goal.SetPlan(l.plan, view)
		l.reconciler.SetGoal(goal)
	}
	l.publishStatus(now)
	l.planDuration = clock.Elapsed(now, l.planner.options.Clock())
	l.planner.planTimer.Update(l.planDuration)
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
