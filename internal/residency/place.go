package residency

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

// place is placeModel with the decision whether the weights may come from the weight store.
func (s *planState) place(m, reason string, cost func(Engine) float64, evictable evictionFilter, storeLoadAllowed bool) bool {
	var best *Engine
	var move ModelMove
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
		victim, ok := s.chooseVictim(*e, m, evictable)
		if !ok {
			continue
		}
		c += s.evictionCost(*e, victim) + loads.ofEngine(*e)*1e-3
		if best == nil || c < bestCost {
			best, bestCost = e, c
			move = ModelMove{Engine: e.ID, Load: m, Evict: victim, FromStore: fromStore, Reason: reason}
		}
	}
	if best == nil {
		return false
	}
	s.apply(best, move)
	return true
}

func (s *planState) available(e Engine) bool { return e.Usable && !e.Busy }

// chooseVictim returns the model on the engine that costs least to unload, "" if there is room
// without an eviction. It returns false if no single model frees enough memory. The last
// usable copy of a model is evicted only if the model is idle: a copy that is still being
// loaded is of no use to callers for seconds.
func (s *planState) chooseVictim(e Engine, m string, evictable evictionFilter) (string, bool) {
	if s.fitsModel(e, m, "") {
		return "", true
	}
	best := ""
	for v := range e.Models {
		if !evictable(e, v) || !s.fitsModel(e, m, v) {
			continue
		}
		if s.Now.Before(s.PinnedUntil[PinKey(e.ID, v)]) {
			continue
		}
		if best == "" || s.evictionCost(e, v) < s.evictionCost(e, best) ||
			(s.evictionCost(e, v) == s.evictionCost(e, best) && s.copies[v] > s.copies[best]) {
			best = v
		}
	}
	return best, best != ""
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
	if m == "" {
		return 0
	}
	cost := s.loads().ofModel(m, e) + inFlightCost*float64(e.InFlight[m])
	if s.copies[m] <= 1 {
		cost += lastCopyCost
	}
	return cost
}

// PinKey returns the key of a model on an engine in Fleet.PinnedUntil.
func PinKey(engine, model string) string { return engine + " " + model }

// fitsModel reports whether a model fits on an engine once the model evict and its adapters
// are unloaded.
func (s *planState) fitsModel(e Engine, m, evict string) bool {
	return usedMBWithout(e, s.Spec, evict)+s.Spec.Models[m].MemoryMB+s.reserveMB <= s.Spec.WeightsMB
}

func (s *planState) apply(e *Engine, move ModelMove) {
	s.moves = append(s.moves, move)
	if move.FromStore {
		s.StoreLoadBudget--
	}
	if move.Evict != "" {
		delete(e.Models, move.Evict)
		s.copies[move.Evict]--
		s.usableCopies[move.Evict]--
	}
	e.Models[move.Load] = true
	e.Busy = true
	s.copies[move.Load]++
	s.lastCopyCounts = nil
	if s.Demand[move.Load] > 0 || s.Demand[move.Evict] > 0 {
		s.byLoad, s.balance = nil, nil
	}
}
