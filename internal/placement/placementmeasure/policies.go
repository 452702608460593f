package main

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// static never changes anything.
type static struct{}

func (static) miss(*world, placement.Item, time.Duration)             {}
func (static) step(*world, map[placement.Name]float64, time.Duration) {}

// planned follows the plan. It hears of demand as the planner does.
type planned struct {
	estimator *demand.Estimator
}

func (*planned) miss(*world, placement.Item, time.Duration) {}

func (p *planned) step(w *world, rates map[placement.Name]float64, now time.Duration) {
	clock := time.Unix(0, 0).Add(now + time.Second)
	p.estimator.Hear(report(rates), clock)
	plan := placement.Make(placement.Input{Models: w.trace.models, Engines: w.engines, Demand: p.estimator.Rates(clock)})
	wanted := make(map[at]struct{}, len(plan.Assignments))
	index := make(map[string]int, len(w.engines))
	for i, e := range w.engines {
		index[e.Name] = i
	}
	for _, a := range plan.Assignments {
		wanted[at{index[a.Engine], a.Item}] = struct{}{}
	}
	for i := range w.engines {
		for _, h := range slices.Clone(w.engines[i].Holds) {
			if _, stays := wanted[at{i, h.Item}]; !stays {
				w.unload(i, h.Item)
			}
		}
	}
	budget := loadsPerStep
	for _, a := range plan.Assignments {
		e := index[a.Engine]
		if budget == 0 || w.holds(e, a.Item) || w.free(e) < a.Memory {
			continue
		}
		w.load(e, a.Item)
		budget--
	}
}

// report is what one entry VM would say of the step.
func report(rates map[placement.Name]float64) demand.Report {
	c := demand.NewCounter(time.Unix(0, 0))
	for name, rate := range rates {
		c.Add(name, int64(rate*step.Seconds()))
	}
	return c.Cut("vm1", time.Unix(0, 0).Add(step))
}

// lru loads what a request misses and unloads what was used longest ago.
type lru struct {
	budget int
	asked  map[placement.Item]struct{}
}

func (p *lru) step(*world, map[placement.Name]float64, time.Duration) {
	p.budget = loadsPerStep
	p.asked = make(map[placement.Item]struct{})
}

func (p *lru) miss(w *world, item placement.Item, _ time.Duration) {
	if _, again := p.asked[item]; again || p.budget <= 0 {
		return
	}
	p.asked[item] = struct{}{}
	e, ok := p.victim(w, item)
	if !ok {
		return
	}
	base := placement.Item{Model: item.Model, Version: item.Version}
	if item != base && !w.holds(e, base) {
		p.makeRoom(w, e, w.memory[base]+w.memory[item], item)
		w.load(e, base)
		p.budget--
	} else {
		p.makeRoom(w, e, w.memory[item], item)
	}
	w.load(e, item)
	p.budget--
}

// victim is the engine without the item whose least recently used copy was used
// longest ago; for an adapter, engines that hold its base model come first.
func (p *lru) victim(w *world, item placement.Item) (int, bool) {
	best, bestAge, bestBase := -1, time.Duration(0), false
	base := placement.Item{Model: item.Model, Version: item.Version}
	for e := range w.engines {
		if w.holds(e, item) {
			continue
		}
		withBase := item != base && w.holds(e, base) && w.left[e] >= requestTokens
		age := p.oldest(w, e, item.Model)
		better := withBase && !bestBase || withBase == bestBase && age < bestAge
		if best < 0 || better {
			best, bestAge, bestBase = e, age, withBase
		}
	}
	return best, best >= 0
}

func (p *lru) oldest(w *world, e int, except string) time.Duration {
	oldest := length
	for _, h := range w.engines[e].Holds {
		if h.Item.Model != except {
			oldest = min(oldest, w.used[at{e, h.Item}])
		}
	}
	return oldest
}

// makeRoom unloads base models, with their adapters, and lone adapters, the
// least recently used first.
func (p *lru) makeRoom(w *world, e int, need int64, keep placement.Item) {
	for w.free(e) < need {
		holds := w.engines[e].Holds
		oldest := -1
		for i, h := range holds {
			if h.Item.Model == keep.Model {
				continue
			}
			if oldest < 0 || w.used[at{e, h.Item}] < w.used[at{e, holds[oldest].Item}] {
				oldest = i
			}
		}
		if oldest < 0 {
			return
		}
		gone := holds[oldest].Item
		for _, h := range slices.Clone(holds) {
			if h.Item == gone || (gone.IsBase() && h.Item.Model == gone.Model) {
				w.unload(e, h.Item)
			}
		}
	}
}
