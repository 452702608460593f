package main

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// staticPolicy never loads or unloads anything.
type staticPolicy struct{}

func (staticPolicy) onMiss(*simulation, placement.Item, time.Duration)             {}
func (staticPolicy) onStep(*simulation, map[placement.Name]float64, time.Duration) {}

// plannedPolicy carries out the placement plan. It receives demand in reports,
// as the planner does.
type plannedPolicy struct {
	estimator *demand.Estimator
}

func (*plannedPolicy) onMiss(*simulation, placement.Item, time.Duration) {}

func (p *plannedPolicy) onStep(w *simulation, rates map[placement.Name]float64, now time.Duration) {
	reportTime := time.Unix(0, 0).Add(now + time.Second)
	p.estimator.Observe(report(rates), reportTime)
	plan := placement.NewPlan(placement.Input{Models: w.trace.models, Engines: w.engines, Demand: p.estimator.Rates(reportTime)})
	wanted := make(map[copyKey]struct{}, len(plan.Assignments))
	index := make(map[string]int, len(w.engines))
	for i, e := range w.engines {
		index[e.Name] = i
	}
	for _, a := range plan.Assignments {
		wanted[copyKey{index[a.Engine], a.Item}] = struct{}{}
	}
	for i := range w.engines {
		for _, h := range slices.Clone(w.engines[i].HeldItems) {
			if _, stays := wanted[copyKey{i, h.Item}]; !stays {
				w.unload(i, h.Item)
			}
		}
	}
	loadsLeft := loadsPerStep
	for _, a := range plan.Assignments {
		e := index[a.Engine]
		if loadsLeft == 0 || w.holds(e, a.Item) || w.freeMemory(e) < a.Memory {
			continue
		}
		w.load(e, a.Item)
		loadsLeft--
	}
}

// report returns the demand report that one entry VM would send for the step.
func report(rates map[placement.Name]float64) demand.Report {
	c := demand.NewCounter(time.Unix(0, 0))
	for name, rate := range rates {
		c.Add(name, int64(rate*stepLength.Seconds()))
	}
	return c.CloseWindow("vm1", time.Unix(0, 0).Add(stepLength))
}

// lruPolicy loads the item that a request could not be served with and evicts
// the least recently used items.
type lruPolicy struct {
	loadsLeft int
	attempted map[placement.Item]struct{}
}

func (p *lruPolicy) onStep(*simulation, map[placement.Name]float64, time.Duration) {
	p.loadsLeft = loadsPerStep
	p.attempted = make(map[placement.Item]struct{})
}

func (p *lruPolicy) onMiss(w *simulation, item placement.Item, _ time.Duration) {
	if _, again := p.attempted[item]; again || p.loadsLeft <= 0 {
		return
	}
	p.attempted[item] = struct{}{}
	e, ok := p.pickEngine(w, item)
	if !ok {
		return
	}
	base := placement.Item{Model: item.Model, Version: item.Version}
	if item != base && !w.holds(e, base) {
		p.makeRoom(w, e, w.memory[base]+w.memory[item], item)
		w.load(e, base)
		p.loadsLeft--
	} else {
		p.makeRoom(w, e, w.memory[item], item)
	}
	w.load(e, item)
	p.loadsLeft--
}

// pickEngine returns the engine without the item whose least recently used item
// has the oldest last use. For an adapter, engines that hold its base model
// come first.
func (p *lruPolicy) pickEngine(w *simulation, item placement.Item) (int, bool) {
	best, bestLastUse, bestBase := -1, time.Duration(0), false
	base := placement.Item{Model: item.Model, Version: item.Version}
	for e := range w.engines {
		if w.holds(e, item) {
			continue
		}
		withBase := item != base && w.holds(e, base) && w.tokensLeft[e] >= requestTokens
		lastUse := p.oldestUse(w, e, item.Model)
		better := withBase && !bestBase || withBase == bestBase && lastUse < bestLastUse
		if best < 0 || better {
			best, bestLastUse, bestBase = e, lastUse, withBase
		}
	}
	return best, best >= 0
}

func (p *lruPolicy) oldestUse(w *simulation, e int, except string) time.Duration {
	oldest := traceLength
	for _, h := range w.engines[e].HeldItems {
		if h.Item.Model != except {
			oldest = min(oldest, w.lastUsed[copyKey{e, h.Item}])
		}
	}
	return oldest
}

// makeRoom unloads base models, with their adapters, and single adapters, least
// recently used first.
func (p *lruPolicy) makeRoom(w *simulation, e int, need int64, keep placement.Item) {
	for w.freeMemory(e) < need {
		holds := w.engines[e].HeldItems
		oldest := -1
		for i, h := range holds {
			if h.Item.Model == keep.Model {
				continue
			}
			if oldest < 0 || w.lastUsed[copyKey{e, h.Item}] < w.lastUsed[copyKey{e, holds[oldest].Item}] {
				oldest = i
			}
		}
		if oldest < 0 {
			return
		}
		evicted := holds[oldest].Item
		for _, h := range slices.Clone(holds) {
			if h.Item == evicted || (evicted.IsBase() && h.Item.Model == evicted.Model) {
				w.unload(e, h.Item)
			}
		}
	}
}
