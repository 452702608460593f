package vm

import (
	"context"
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/residency"
)

// itemRate is the demand for an item, averaged over rateMemory.
type itemRate struct {
	// share is the engine time asked for in a second, in seconds, requests the number that
	// the average rests on.
	share, requests float64
	at              time.Time
}

// rateMemory is the time over which demand is averaged.
const rateMemory = 1500 * time.Millisecond

func (r *itemRate) add(d assign.Demand, now time.Time) {
	r.decay(now)
	r.share += d.Work.Seconds() / rateMemory.Seconds()
	r.requests += float64(d.Requests)
}

func (r *itemRate) decay(now time.Time) {
	left := math.Exp(-now.Sub(r.at).Seconds() / rateMemory.Seconds())
	r.share *= left
	r.requests *= left
	r.at = now
}

// certain is the demand that there is at least, one standard deviation below the
// average. Prompts are large and few: a single one would else look like a model that
// has become busy, and bring it to one more engine.
func (r *itemRate) certain() float64 {
	if r.requests <= 1 {
		return 0
	}
	return r.share * (1 - 1/math.Sqrt(r.requests))
}

// loadBudget is what the weight store allows: a bucket of loads.
type loadBudget struct {
	tokens float64
	at     time.Time
}

// loadBurst is how many loads may begin at once. The platform tolerates three beyond
// its rate in a window.
const loadBurst = 2.0

func (b *loadBudget) refill(perSecond float64, now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(loadBurst, b.tokens+perSecond*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// heardDemand takes what a VM was asked for by item since its start.
func (l *planner) heardDemand(vm string, incarnation int64, demand map[string]assign.Demand, now time.Time) {
	if len(demand) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first.requested(now)
	known := l.demand[vm]
	if known == nil || known.incarnation != incarnation {
		// What was asked for before this VM heard of it is no demand of now.
		l.demand[vm] = &reportedDemand{incarnation: incarnation, items: demand}
		return
	}
	for item, total := range demand {
		before := known.items[item]
		if total.Requests > before.Requests {
			l.used[item] = now
			l.rate(item, now).add(assign.Demand{Work: total.Work - before.Work, Requests: total.Requests - before.Requests}, now)
		}
		known.items[item] = total
	}
}

// heardUse notes that adapters are in use. One whose requests still run must not make
// way: its unload would wait for them and keep its place all the while.
func (l *planner) heardUse(items []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		l.used[item] = now
	}
}

// rate must be called with the lock held.
func (l *planner) rate(item string, now time.Time) *itemRate {
	r := l.rates[item]
	if r == nil {
		r = &itemRate{at: now}
		l.rates[item] = r
	}
	return r
}

const (
	// settleTime is how long a model stays on an engine at least: a few times what a
	// load from disk takes.
	settleTime = 3 * time.Second
)

// plan moves models.
func (l *planner) plan(ctx context.Context) {
	k := l.p.core.Catalog()
	if k == nil {
		return
	}
	for name, s := range k.Services {
		if s.Engine == nil {
			continue
		}
		for _, move := range l.decide(name, s.Engine) {
			l.start(ctx, move, s.Engine)
		}
	}
	l.publish()
}

const (
	// idleTime is how long a model is kept somewhere after its last request. Rare models are
	// asked for every few seconds, and each time one has made way its next caller waits for
	// a load.
	idleTime = 10 * time.Second
)

// decide makes the plan of one service.
func (l *planner) decide(service string, spec *catalog.EngineSpec) []residency.ModelMove {
	now := time.Now()
	engines := l.engines(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first.incomplete(now) {
		return nil
	}
	l.loads.refill(spec.LoadsPerSecond*loadCaution, now)
	f := residency.Fleet{
		Engines: engines, Spec: spec, Demand: make(map[string]float64), MinDemand: make(map[string]float64), Idle: make(map[string]bool), PinnedUntil: l.settledUntil,
		StoreLoadBudget: l.storeLoads(spec), Now: now,
	}
	for m := range spec.Models {
		if r := l.rates[m]; r != nil {
			r.decay(now)
			f.Demand[m], f.MinDemand[m] = r.share, r.certain()
		}
		f.Demand[m] = max(f.Demand[m], l.first.demand(m, now))
		f.Idle[m] = l.first.over(now) && now.Sub(l.used[m]) > idleTime
	}
	return residency.PlanModels(f)
}

// loadCaution is the part of the weight store's rate that is used.
const loadCaution = 0.9

// storeLoads is how many loads from the weight store may begin now: within its rate,
// and no more at once than the rate carries at full speed. It must be called with
// the lock held.
func (l *planner) storeLoads(spec *catalog.EngineSpec) int {
	if spec.LoadsPerSecond <= 0 {
		return len(l.books)
	}
	longest := time.Duration(0)
	for _, m := range spec.Models {
		longest = max(longest, m.LoadTime)
	}
	running := 0
	for _, b := range l.books {
		if b.busy && b.fromStore {
			running++
		}
	}
	atOnce := max(1, int(spec.LoadsPerSecond*longest.Seconds()))
	return min(int(l.loads.tokens), atOnce-running)
}

// start carries a move out beside the others.
func (l *planner) start(ctx context.Context, move residency.ModelMove, spec *catalog.EngineSpec) {
	b := l.book(move.Engine)
	if b == nil {
		return
	}
	l.mu.Lock()
	b.busy, b.fromStore, b.coming = true, move.FromStore, move.Load
	if move.FromStore {
		l.loads.tokens--
	}
	l.settledUntil[residency.PinKey(move.Engine, move.Load)] = time.Now().Add(settleTime)
	l.mu.Unlock()
	l.p.log.Info().Str("event", "model_move").Str("instance", move.Engine).Str("load", move.Load).Str("evict", move.Evict).
		Bool("from_store", move.FromStore).Str("reason", move.Reason).Send()
	began := time.Now()
	go func() {
		err := l.move(ctx, b, move, spec)
		l.mu.Lock()
		b.busy, b.fromStore, b.coming, b.waiting = false, false, "", ""
		l.mu.Unlock()
		if err == nil {
			l.p.log.Info().Str("event", "model_moved").Str("instance", b.instance.ID).Str("load", move.Load).Dur("took_ms", time.Since(began)).Send()
		} else {
			l.p.log.Warn().Str("event", "model_move_failed").Str("instance", move.Engine).Str("load", move.Load).AnErr("cause", err).Send()
		}
		l.publish()
		// Callers wait for what has come, and the next report may be a quarter of a
		// second away.
		l.p.fleet.announce()
	}()
}
