package residency

import (
	"cmp"
	"maps"
	"slices"
)

// evictionFilter reports whether model v may be evicted from engine e.
type evictionFilter func(e Engine, v string) bool

// evictableBelow admits expendable copies that carry a demand of at most limit and have at
// most maxVictimInFlight requests in flight.
func (s *planState) evictableBelow(limit float64) evictionFilter {
	return func(e Engine, v string) bool {
		return s.copyExpendable(e, v) && s.demandPerCopy(v) <= limit && e.InFlight[v] <= maxVictimInFlight
	}
}

// placeModel moves a copy of a model to the engine with the least cost and reports whether
// there is one. Engines for which cost returns more than zero are excluded; evictable admits the
// models that can be evicted.
func (s *planState) placeModel(m, reason string, cost func(Engine) float64, evictable evictionFilter) bool {
	return s.place(m, reason, cost, evictable, s.copies[m] == 0 || s.minDemandPerCopy(m) > minStoreLoadDemand)
}

// effort is what is given up to place a model.
type effort struct {
	// manyVictims means that several models may make way for one, reserveMB is the memory that is kept free for adapters.
	manyVictims bool
	reserveMB   float64
}

// place is placeModel with the decision whether the weights may come from the weight store. For a model that no engine
// holds, several models and the memory kept for adapters make way if nothing else does.
func (s *planState) place(m, reason string, cost func(Engine) float64, evictable evictionFilter, storeLoadAllowed bool) bool {
	if s.placeWith(effort{reserveMB: s.reserveMB}, m, reason, cost, evictable, storeLoadAllowed) {
		return true
	}
	if s.copies[m] > 0 {
		return false
	}
	return s.placeWith(effort{reserveMB: s.reserveMB, manyVictims: true}, m, reason, cost, evictable, storeLoadAllowed) ||
		s.placeWith(effort{manyVictims: true}, m, reason, cost, evictable, storeLoadAllowed)
}

func (s *planState) placeWith(most effort, m, reason string, cost func(Engine) float64, evictable evictionFilter, storeLoadAllowed bool) bool {
	var best *Engine
	var move ModelMove
	var evict []string
	bestCost := 0.0
	loads := s.loads()
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.available(*e) || e.Models[m] {
			continue
		}
		c := cost(*e)
		if c > 0 {
			continue
		}
		fromStore := !e.LocalWeights[m]
		if fromStore {
			if s.StoreLoadBudget <= 0 || !storeLoadAllowed {
				continue
			}
			c += storeLoadPenalty
		}
		victims, ok := s.chooseVictims(e, m, evictable, most)
		if !ok {
			continue
		}
		for _, v := range victims {
			c += s.evictionCost(*e, v)
		}
		c += loads.ofEngine(*e) * 1e-3
		if best == nil || c < bestCost {
			best, bestCost = e, c
			move = ModelMove{Engine: e.ID, Load: m, Evict: append(evict[:0], victims...), FromStore: fromStore, Reason: reason}
			evict = move.Evict
		}
	}
	if best == nil {
		return false
	}
	s.apply(best, move)
	return true
}

func (s *planState) available(e Engine) bool { return e.Usable && !e.Busy }

// chooseVictims returns the models on the engine that cost least to unload, none if there is room
// without an eviction: one if that frees enough memory, else several if most admits that. It returns
// false if they do not free enough. The last
// usable copy of a model is evicted only if the model is idle: a copy that is still being
// loaded is of no use to callers for seconds.
// The result is valid until the next call.
func (s *planState) chooseVictims(e *Engine, m string, evictable evictionFilter, most effort) ([]string, bool) {
	if FitsModel(e, s.Spec, m, most.reserveMB) {
		return nil, true
	}
	best := ""
	for v := range e.Models {
		if !s.mayEvict(e, v, evictable) || !FitsModel(e, s.Spec, m, most.reserveMB, v) {
			continue
		}
		if best == "" || s.evictionCost(*e, v) < s.evictionCost(*e, best) ||
			(s.evictionCost(*e, v) == s.evictionCost(*e, best) && s.copies[v] > s.copies[best]) {
			best = v
		}
	}
	if best != "" {
		s.victim[0] = best
		return s.victim[:], true
	}
	if !most.manyVictims {
		return nil, false
	}
	return s.chooseManyVictims(e, evictable, func(some []string) bool { return FitsModel(e, s.Spec, m, most.reserveMB, some...) })
}

func (s *planState) mayEvict(e *Engine, v string, evictable evictionFilter) bool {
	return evictable(*e, v) && !s.Now.Before(s.PinnedUntil[PinKey(e.ID, v)])
}

// chooseManyVictims returns models of which no single one frees enough memory, those first that cost least to unload.
func (s *planState) chooseManyVictims(e *Engine, evictable evictionFilter, fits func(without []string) bool) ([]string, bool) {
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(e.Models)), func(v string) bool { return !s.mayEvict(e, v, evictable) })
	slices.SortStableFunc(candidates, func(a, b string) int { return cmp.Compare(s.evictionCost(*e, a), s.evictionCost(*e, b)) })
	for n := range candidates {
		if fits(candidates[:n+1]) {
			return needed(candidates[:n+1], fits), true
		}
	}
	return nil, false
}

// copyExpendable reports whether a model stays reachable without its copy on an engine:
// another copy is usable, or the model is idle and the engine keeps its weights locally.
func (s *planState) copyExpendable(e Engine, m string) bool {
	if s.usableCopies[m] >= 2 && s.copies[m] >= 2 {
		return true
	}
	return s.idle(m) && e.LocalWeights[m] && e.InFlight[m] == 0
}

// evictionCost is the cost of unloading a model from an engine: the demand that its copy
// carries, the requests that the unload has to wait for, and the wait of the next caller if
// it is the last copy.
func (s *planState) evictionCost(e Engine, m string) float64 {
	cost := s.loads().ofModel(m, e) + inFlightCost*float64(e.InFlight[m])
	if s.copies[m] <= 1 {
		cost += lastCopyCost
	}
	return cost
}

// PinKey returns the key of a model on an engine in Fleet.PinnedUntil.
func PinKey(engine, model string) string { return engine + " " + model }

// apply counts a move in the plan.
func (s *planState) apply(e *Engine, move ModelMove) {
	s.moves = append(s.moves, move)
	if move.FromStore {
		s.StoreLoadBudget--
	}
	inDemand := s.Demand[move.Load] > 0
	for _, v := range move.Evict {
		delete(e.Models, v)
		s.copies[v]--
		s.usableCopies[v]--
		inDemand = inDemand || s.Demand[v] > 0
	}
	e.Busy = true
	if move.Load != "" {
		e.Models[move.Load] = true
		s.copies[move.Load]++
	}
	s.lastCopyCounts = nil
	if inDemand {
		s.byLoad, s.balance = nil, nil
	}
}
