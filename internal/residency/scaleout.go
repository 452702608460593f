package residency

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// scaleOutBusy adds copies of the models whose engines have the highest load, the highest
// first, since the weight store allows few loads. If no model can be evicted from an engine
// with spare time, it makes room there for the next plan.
func (s *planState) scaleOutBusy() {
	done := make(map[string]bool)
	for {
		m := s.busiestModel(done)
		if m == "" {
			return
		}
		loads := s.loads()
		ok := s.placeModel(m, "busy", func(e Engine) float64 {
			return loads.ofEngine(e) - maxTargetLoadRatio*loads.balanced[m]
		}, s.evictableBelow(maxVictimRatio*s.minDemandPerCopy(m)))
		if !ok {
			s.makeRoomFor(m)
		}
		done[m] = !ok
	}
}

// busiestModel returns the model with the highest balanced load, of those that are not done
// and whose load and demand per copy justify another copy. It returns "" if there is none.
func (s *planState) busiestModel(done map[string]bool) string {
	best, balanced := "", s.loads().balanced
	for m := range s.Spec.Models {
		if done[m] || s.copies[m] == 0 || s.minDemandPerCopy(m) <= minScaleOutDemand || balanced[m] <= minScaleOutLoad {
			continue
		}
		if best == "" || balanced[m] > balanced[best] || (balanced[m] == balanced[best] && m < best) {
			best = m
		}
	}
	return best
}

// makeRoomFor loads a second copy of a rarely used model on another engine, so that its last
// copy can be evicted for the busy model m. The least loaded engine often holds only models
// with little demand, each of them the last copy, so that none can be evicted for a busy one.
func (s *planState) makeRoomFor(m string) {
	loads := s.loads()
	for _, e := range s.leastLoadedFirst() {
		if loads.ofEngine(*e) > maxTargetLoadRatio*loads.balanced[m] {
			return
		}
		if !s.available(*e) || e.Models[m] {
			continue
		}
		if rare := s.leastDemandedLastCopy(*e); rare != "" && s.placeModel(rare, "apart", s.relocationCost(*e), s.evictableExcept(m)) {
			return
		}
	}
}

// leastLoadedFirst returns the engines in ascending order of load.
func (s *planState) leastLoadedFirst() []*Engine {
	if s.byLoad != nil {
		return s.byLoad
	}
	s.byLoad = make([]*Engine, len(s.Engines))
	for i := range s.Engines {
		s.byLoad[i] = &s.Engines[i]
	}
	loads := s.loads()
	slices.SortStableFunc(s.byLoad, func(a, b *Engine) int { return cmp.Compare(loads.ofEngine(*a), loads.ofEngine(*b)) })
	return s.byLoad
}

// leastDemandedLastCopy returns the model with the least demand among those of which the
// engine has the last copy and whose load on another engine is not delayed, "" if none.
func (s *planState) leastDemandedLastCopy(e Engine) string {
	best := ""
	for m := range e.Models {
		if _, named := s.Spec.Models[m]; !named || s.copies[m] != 1 || s.delayed[m] {
			continue
		}
		if best == "" || s.Demand[m] < s.Demand[best] || (s.Demand[m] == s.Demand[best] && m < best) {
			best = m
		}
	}
	return best
}

// relocationCost returns a cost function that admits engines other than except that hold at
// least two last copies fewer. The others are full of last copies themselves.
func (s *planState) relocationCost(except Engine) func(Engine) float64 {
	last := s.countLastCopies()
	return func(e Engine) float64 {
		if e.ID == except.ID || last[e.ID] >= last[except.ID]-1 {
			return 1
		}
		return 0
	}
}

// countLastCopies returns the number of models of which an engine has the only copy, by engine.
func (s *planState) countLastCopies() map[string]int {
	if s.lastCopyCounts != nil {
		return s.lastCopyCounts
	}
	s.lastCopyCounts = make(map[string]int, len(s.Engines))
	for _, e := range s.Engines {
		for m := range e.Models {
			if s.copies[m] == 1 {
				s.lastCopyCounts[e.ID]++
			}
		}
	}
	return s.lastCopyCounts
}

// evictableExcept admits little-used models other than m.
func (s *planState) evictableExcept(m string) evictionFilter {
	evictable := s.evictableBelow(minScaleOutDemand)
	return func(e Engine, v string) bool { return v != m && evictable(e, v) }
}

// fillFreeMemory loads further copies into free memory: demand for a model rises within
// seconds, and a crash loses every model with a single copy. Loading local weights costs only
// an order.
func (s *planState) fillFreeMemory() {
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.available(*e) {
			continue
		}
		fits := func(m string) bool { return e.LocalWeights[m] && !e.Models[m] && FitsModel(e, s.Spec, m, s.reserveMB) }
		if m := s.fewestCopies(maps.Keys(e.LocalWeights), fits); m != "" {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, Reason: "fill"})
		}
	}
}

// preplaceAdapterModels adds copies of models with adapters ahead of demand. Each adapter has
// callers of its own, so these models are the ones that become busy. It evicts only models
// without adapters and without demand.
func (s *planState) preplaceAdapterModels() {
	idle := s.evictableBelow(idleDemand)
	idleWithoutAdapters := func(e Engine, v string) bool { return s.Spec.Models[v].Adapters == 0 && idle(e, v) }
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.available(*e) {
			continue
		}
		m := s.fewestCopies(maps.Keys(s.Spec.Models), func(m string) bool {
			return s.Spec.Models[m].Adapters > 0 && s.copies[m] < s.preplacedCopies() && !e.Models[m] &&
				(e.LocalWeights[m] || s.StoreLoadBudget > 0)
		})
		if m == "" {
			continue
		}
		victims, ok := s.chooseVictims(e, m, idleWithoutAdapters, effort{reserveMB: s.reserveMB})
		if ok && (len(victims) == 0 || e.LocalWeights[m]) {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, Evict: slices.Clone(victims), FromStore: !e.LocalWeights[m], Reason: "ahead"})
		}
	}
}

// preplacedCopies is how many copies of a model with adapters are loaded ahead of demand: on
// a quarter of the engines and at least two, so that a model that becomes busy can be served
// during the seconds that further loads take.
func (s *planState) preplacedCopies() int { return max(2, len(s.Engines)/preplacedEngineDivisor) }

// preplacedEngineDivisor divides the number of engines to give the number of copies that are
// loaded ahead of demand.
const preplacedEngineDivisor = 4

// fewestCopies returns the wanted one of some models with the fewest copies, "" if none is wanted.
func (s *planState) fewestCopies(models iter.Seq[string], wanted func(string) bool) string {
	best := ""
	for m := range models {
		if best != "" && (s.copies[m] > s.copies[best] || (s.copies[m] == s.copies[best] && m > best)) {
			continue
		}
		if wanted(m) {
			best = m
		}
	}
	return best
}
