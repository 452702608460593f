package residency

// victims says whether a model may make way on an engine.
type victims func(e Engine, v string) bool

// quiet allows models to make way that carry no more than limit and that few requests use.
func (s *planState) quiet(limit float64) victims {
	return func(e Engine, v string) bool {
		return s.mayLeave(e, v) && s.share(v) <= limit && e.Running[v] <= fewRunning
	}
}

// bring chooses the engine for a copy of a model: the one with the least cost, which
// has to be at most zero. may says which models can make way for it.
func (s *planState) bring(m, reason string, cost func(Engine) float64, may victims) bool {
	var best *Engine
	var move ModelMove
	bestCost := 0.0
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.free(*e) || e.Models[m] {
			continue
		}
		c := cost(*e)
		if c > 0 {
			continue
		}
		fromStore := !e.Quick[m]
		if fromStore {
			if s.StoreLoads <= 0 || (s.copies[m] > 0 && s.certainShare(m) <= leastStoreShare) {
				continue
			}
			c += storePenalty
		}
		victim, ok := s.victim(*e, m, may)
		if !ok {
			continue
		}
		c += s.leavingCost(*e, victim) + s.load[e.ID]*1e-3
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

func (s *planState) free(e Engine) bool { return e.Usable && !e.Busy }

// victim returns the model on the engine that costs least to unload, "" if there is room
// without one. ok is false if no single model makes enough room. The last copy that
// can be used makes way only if it is idle: another one that is still being loaded is of no
// use to callers for seconds.
func (s *planState) victim(e Engine, m string, may victims) (string, bool) {
	if s.fitsModel(e, m, "") {
		return "", true
	}
	best := ""
	for v := range e.Models {
		if !may(e, v) || !s.fitsModel(e, m, v) {
			continue
		}
		if s.Now.Before(s.Settled[SettledKey(e.ID, v)]) {
			continue
		}
		if best == "" || s.leavingCost(e, v) < s.leavingCost(e, best) ||
			(s.leavingCost(e, v) == s.leavingCost(e, best) && s.copies[v] > s.copies[best]) {
			best = v
		}
	}
	return best, best != ""
}

// mayLeave reports whether a model stays reachable without its copy on an engine: another
// one can be used, or nobody asks for it and the engine keeps its weights at hand.
func (s *planState) mayLeave(e Engine, m string) bool {
	if s.ready[m] >= 2 && s.copies[m] >= 2 {
		return true
	}
	return s.idle(m) && e.Quick[m] && e.Running[m] == 0
}

// leavingCost is what it costs to unload a model from an engine: the demand that its copy
// carries, the requests that the unload has to wait for, and the wait of the next caller if
// it is the last copy.
func (s *planState) leavingCost(e Engine, m string) float64 {
	if m == "" {
		return 0
	}
	cost := s.parts[m][e.ID] + runningCost*float64(e.Running[m])
	if s.copies[m] <= 1 {
		cost += lastCopyCost
	}
	return cost
}

// SettledKey names a model on an engine in Fleet.Settled.
func SettledKey(engine, model string) string { return engine + " " + model }

// fitsModel reports whether a model fits beside what the engine holds without the
// evicted one, whose adapters go with it.
func (s *planState) fitsModel(e Engine, m, evict string) bool {
	return usedWithout(e, s.Spec, evict)+s.Spec.Models[m].MemoryMB+s.reserve <= s.Spec.WeightsMB
}

func (s *planState) apply(e *Engine, move ModelMove) {
	s.moves = append(s.moves, move)
	if move.FromStore {
		s.StoreLoads--
	}
	if move.Evict != "" {
		delete(e.Models, move.Evict)
		s.copies[move.Evict]--
		s.ready[move.Evict]--
	}
	e.Models[move.Load] = true
	e.Busy = true
	s.copies[move.Load]++
	s.last, s.byLoad = nil, nil
	s.weigh()
}
