package vm

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/residency"
)

// demandRate is the exponentially decayed average of the demand for an item, with the time
// constant rateTimeConstant.
type demandRate struct {
	// engineTime is the engine time requested per second, in seconds, requests the decayed
	// number of requests behind the average.
	engineTime, requests float64
	updatedAt            time.Time
}

// rateTimeConstant is the time over which demand is averaged.
const rateTimeConstant = 1500 * time.Millisecond

func (r *demandRate) add(d assign.Demand, now time.Time) {
	r.decay(now)
	r.engineTime += d.Work.Seconds() / rateTimeConstant.Seconds()
	r.requests += float64(d.Requests)
}

func (r *demandRate) decay(now time.Time) {
	remaining := math.Exp(-now.Sub(r.updatedAt).Seconds() / rateTimeConstant.Seconds())
	r.engineTime *= remaining
	r.requests *= remaining
	r.updatedAt = now
}

// lowerBound is a lower bound of the demand, one standard deviation below the average. Prompts
// are large and few: without this bound, a single prompt would make its model look busy, and the
// model would be loaded on another engine.
func (r *demandRate) lowerBound() float64 {
	if r.requests <= 1 {
		return 0
	}
	return r.engineTime * (1 - 1/math.Sqrt(r.requests))
}

// loadBucket is a token bucket that limits the loads from the weight store to its rate.
type loadBucket struct {
	tokens     float64
	refilledAt time.Time
}

// storeLoadBurst is how many loads from the weight store may begin at once. The platform
// tolerates three beyond its rate in a window.
const storeLoadBurst = 2.0

func (b *loadBucket) refill(perSecond float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(storeLoadBurst, b.tokens+perSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// recordDemand records the demand that a VM has had since its start, by item.
func (l *planner) recordDemand(vm string, incarnation int64, demand map[string]assign.Demand, now time.Time) {
	if len(demand) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startup.recordRequest(now)
	previous := l.demandByVM[vm]
	if previous == nil || previous.incarnation != incarnation {
		// Requests from before the first report of this incarnation are not current demand.
		l.demandByVM[vm] = &reportedDemand{incarnation: incarnation, totals: demand}
		return
	}
	for item, total := range demand {
		before := previous.totals[item]
		if total.Requests > before.Requests {
			l.lastUsed[item] = now
			l.demandRateOf(item, now).add(assign.Demand{Work: total.Work - before.Work, Requests: total.Requests - before.Requests}, now)
		}
		previous.totals[item] = total
	}
}

// recordAdapterUse records that adapters are in use. An adapter with requests in flight must not be
// evicted: its unload would wait for them, and the slot would stay occupied meanwhile.
func (l *planner) recordAdapterUse(items []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		l.lastUsed[item] = now
	}
}

// demandRateOf returns the rate of an item and adds it if there is none. It must be called with
// the lock held.
func (l *planner) demandRateOf(item string, now time.Time) *demandRate {
	r := l.demandRates[item]
	if r == nil {
		r = &demandRate{updatedAt: now}
		l.demandRates[item] = r
	}
	return r
}

// meanWork returns the mean engine time that a request takes, in seconds, zero without recent requests.
// It must be called with the lock held.
func (l *planner) meanWork(now time.Time) float64 {
	engineTime, requests := 0.0, 0.0
	for item, r := range l.demandRates {
		if strings.Contains(item, "/") {
			// The requests for an adapter also count for its model.
			continue
		}
		r.decay(now)
		engineTime += r.engineTime
		requests += r.requests / rateTimeConstant.Seconds()
	}
	if requests <= 0 {
		return 0
	}
	return engineTime / requests
}

const (
	// minResidency is how long a model stays on an engine at least: a few times the duration
	// of a load from disk.
	minResidency = 3 * time.Second
)

// planMoves makes a plan for every service with engines, starts its moves, and publishes the
// contents of the engines.
func (l *planner) planMoves(ctx context.Context) {
	k := l.p.core.Catalog()
	if k == nil {
		return
	}
	for name, s := range k.Services {
		if s.Engine == nil {
			continue
		}
		for _, move := range l.planService(name, s.Engine) {
			l.startMove(ctx, move, s.Engine)
		}
	}
	l.publishContents()
}

const (
	// modelIdleTime is how long after its last request a model counts as idle. Rarely used
	// models are requested every few seconds, and after each eviction the next caller waits
	// for a load.
	modelIdleTime = 10 * time.Second
)

// planService makes the plan of one service.
func (l *planner) planService(service string, spec *catalog.EngineSpec) []residency.ModelMove {
	now := time.Now()
	engines := l.engines(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startup.incomplete(now) {
		return nil
	}
	l.loadBucket.refill(spec.LoadsPerSecond*storeRateFraction, now)
	f := residency.Fleet{
		Engines: engines, Spec: spec, Demand: make(map[string]float64), MinDemand: make(map[string]float64), Idle: make(map[string]bool), PinnedUntil: l.pinnedUntil,
		StoreLoadBudget: l.storeLoadBudget(spec), Now: now, Wanted: l.wantedOf(service), MissingSince: l.missingOf(service),
	}
	for m := range spec.Models {
		if r := l.demandRates[m]; r != nil {
			r.decay(now)
			f.Demand[m], f.MinDemand[m] = r.engineTime, r.lowerBound()
		}
		f.Demand[m] = max(f.Demand[m], l.startup.assumedDemand(m, now))
		f.Idle[m] = l.startup.demandKnown(now) && now.Sub(l.lastUsed[m]) > modelIdleTime
	}
	f.RecordMissing()
	moves := residency.PlanModels(f)
	l.answerWanted(service, f)
	return moves
}

// missingOf returns the models of a service in demand that no engine holds. It must be called with the lock held.
func (l *planner) missingOf(service string) map[string]time.Time {
	if l.missingSince[service] == nil {
		l.missingSince[service] = make(map[string]time.Time)
	}
	return l.missingSince[service]
}

// storeRateFraction is the fraction of the weight store's rate that is used.
const storeRateFraction = 0.9

// storeLoadBudget returns how many loads from the weight store may begin now: within its rate,
// and with no more loads in progress than the store sustains at full speed, which is its rate
// times the longest load time. It must be called with the lock held.
func (l *planner) storeLoadBudget(spec *catalog.EngineSpec) int {
	if spec.LoadsPerSecond <= 0 {
		return len(l.states)
	}
	longest := time.Duration(0)
	for _, m := range spec.Models {
		longest = max(longest, m.LoadTime)
	}
	loading := 0
	for _, state := range l.states {
		if state.moving && state.fromStore {
			loading++
		}
	}
	concurrent := max(1, int(spec.LoadsPerSecond*longest.Seconds()))
	return min(int(l.loadBucket.tokens), concurrent-loading)
}

// startMove carries out a move concurrently with others.
func (l *planner) startMove(ctx context.Context, move residency.ModelMove, spec *catalog.EngineSpec) {
	state := l.state(move.Engine)
	if state == nil {
		return
	}
	l.mu.Lock()
	state.moving, state.fromStore, state.loading = true, move.FromStore, move.Load
	if move.FromStore {
		l.loadBucket.tokens--
	}
	if move.Load != "" {
		l.pinnedUntil[residency.PinKey(move.Engine, move.Load)] = time.Now().Add(minResidency)
	}
	l.mu.Unlock()
	l.p.log.Info().Str("event", "model_move").Str("instance", move.Engine).Str("load", move.Load).Str("evict", strings.Join(move.Evict, ",")).
		Bool("from_store", move.FromStore).Str("reason", move.Reason).Send()
	began := time.Now()
	go func() {
		err := l.executeMove(ctx, state, move, spec)
		l.mu.Lock()
		state.moving, state.fromStore, state.loading, state.delayedLoad = false, false, "", ""
		l.mu.Unlock()
		if err == nil {
			l.p.log.Info().Str("event", "model_moved").Str("instance", state.instance.ID).Str("load", move.Load).Dur("took_ms", time.Since(began)).Send()
		} else {
			l.p.log.Warn().Str("event", "model_move_failed").Str("instance", move.Engine).Str("load", move.Load).AnErr("cause", err).Send()
		}
		l.publishEngine(state)
		// Callers wait for the model, and the next report may be a quarter of a second away.
		l.p.fleet.exchangeNow()
	}()
}
