package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// worthMoving is the part of the busiest holder's load below which an engine has
	// to stay with a new copy. Closer than that, a copy would move load about
	// without making the slowest engine faster.
	worthMoving = 0.8
	// leastShare is the demand in tokens a second for one copy from which another
	// one is worth an order: about a sixth of what an engine reads. Below it a busy
	// engine is better relieved of something else.
	leastShare = 6000.0
	// storePenalty is by how much an engine that needs the weight store has to be
	// emptier than one that has the weights at hand, in tokens a second.
	storePenalty = 6000.0
	// victimShare is the part of a copy's gain that its victim may be worth.
	victimShare = 0.4
)

// ModelMove brings a model to an engine. Evict names the model that makes way, ""
// if none.
type ModelMove struct {
	Engine, Load, Evict string
	// FromStore says that the weights come from the weight store.
	FromStore bool
	// Reason is for logs.
	Reason string
}

// Fleet is what a plan is made from.
type Fleet struct {
	Engines []Engine
	Spec    *catalog.EngineSpec
	// Demand is in tokens a second by model, Certain what it is at least.
	Demand, Certain map[string]float64
	// Settled says until when a model on an engine stays, by engine and model, so
	// that no copy is dropped right after it came.
	Settled map[string]time.Time
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	Now        time.Time
}

// planState is a fleet with the sums that a plan needs, changed by each move.
type planState struct {
	Fleet
	// copies counts the engines that hold a model or load it, ready those that can be
	// used.
	copies, ready map[string]int
	load          map[string]float64
	moves         []ModelMove
}

// PlanModels returns moves for engines that have none under way, at most one for
// each: first models that no engine holds, then further copies of models whose
// engines have much more to do than others, then copies in memory that is free.
func PlanModels(f Fleet) []ModelMove {
	s := &planState{Fleet: f, copies: make(map[string]int), ready: make(map[string]int)}
	for _, e := range f.Engines {
		if !e.Usable {
			continue
		}
		for m := range e.Models {
			s.ready[m]++
		}
		if e.Coming != "" {
			// A load takes seconds; until then the copy counts as there, or each plan
			// would order one more.
			e.Models[e.Coming] = true
		}
		for m := range e.Models {
			s.copies[m]++
		}
	}
	s.weigh()
	s.restoreMissing()
	s.spreadBusy()
	s.fillFree()
	return s.moves
}

// weigh works out the load of every engine: each model's demand, divided evenly
// over its copies.
func (s *planState) weigh() {
	s.load = make(map[string]float64, len(s.Engines))
	for _, e := range s.Engines {
		for m := range e.Models {
			s.load[e.ID] += s.Demand[m] / float64(max(1, s.copies[m]))
		}
	}
}

// byDemand returns all models of the service, those asked for most first.
func (s *planState) byDemand() []string {
	names := make([]string, 0, len(s.Spec.Models))
	for m := range s.Spec.Models {
		names = append(names, m)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := s.share(a), s.share(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

// share is the demand that one copy of a model carries.
func (s *planState) share(m string) float64 { return s.Demand[m] / float64(max(1, s.copies[m])) }

// certainShare is the demand that one copy carries at least.
func (s *planState) certainShare(m string) float64 {
	return s.Certain[m] / float64(max(1, s.copies[m]))
}

// restoreMissing brings every model that no engine holds to one. Each that is asked
// for and cannot be reached is a caller refused.
func (s *planState) restoreMissing() {
	for _, m := range s.byDemand() {
		if s.copies[m] > 0 {
			continue
		}
		// Any victim with another copy will do: being reachable goes first.
		s.bring(m, "missing", func(Engine) float64 { return 0 }, 1e18)
	}
}

// spreadBusy adds copies of the models whose holders have the most to do, always the
// one next whose copies carry most: loads from the weight store are few.
func (s *planState) spreadBusy() {
	done := make(map[string]bool)
	for {
		m := s.busiestModel(done)
		if m == "" {
			return
		}
		gain := s.certainShare(m)
		busiest := s.busiestHolder(m)
		added := s.Demand[m] / float64(s.copies[m]+1)
		ok := s.bring(m, "busy", func(e Engine) float64 {
			return s.load[e.ID] + added - worthMoving*busiest
		}, victimShare*gain)
		done[m] = !ok
	}
}

// busiestModel returns the model whose copies carry most, of those that are not done
// and carry enough.
func (s *planState) busiestModel(done map[string]bool) string {
	best := ""
	for m := range s.Spec.Models {
		if done[m] || s.certainShare(m) <= leastShare {
			continue
		}
		if best == "" || s.certainShare(m) > s.certainShare(best) || (s.certainShare(m) == s.certainShare(best) && m < best) {
			best = m
		}
	}
	return best
}

func (s *planState) busiestHolder(m string) float64 {
	most := 0.0
	for _, e := range s.Engines {
		if e.Usable && e.Models[m] {
			most = max(most, s.load[e.ID])
		}
	}
	return most
}

// fillFree uses free memory for further copies: demand for a model comes within
// seconds, and a crash takes whatever has one copy only. What an engine has at hand
// costs nothing but an order. From the weight store come only models with adapters,
// while there is no demand for loads: each adapter has callers of its own, so these
// models are the ones that become busy.
func (s *planState) fillFree() {
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.free(*e) {
			continue
		}
		if m := s.thinnest(*e, func(m string) bool { return e.Quick[m] }); m != "" {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, Reason: "fill"})
			continue
		}
		if s.StoreLoads <= 0 {
			continue
		}
		m := s.thinnest(*e, func(m string) bool {
			return s.Spec.Models[m].Adapters > 0 && s.copies[m] < s.aheadCopies()
		})
		if m != "" {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, FromStore: true, Reason: "ahead"})
		}
	}
}

// aheadCopies is how many copies of a model with adapters are made ahead of demand:
// on a quarter of the engines, so that a model that becomes busy has somewhere to run
// in the seconds that loads take.
func (s *planState) aheadCopies() int { return max(2, len(s.Engines)/aheadShare) }

// aheadShare is the divisor of the engines that get copies ahead of demand.
const aheadShare = 4

// thinnest returns the model with the fewest copies that fits into the free memory.
func (s *planState) thinnest(e Engine, wanted func(string) bool) string {
	best := ""
	for m := range s.Spec.Models {
		if e.Models[m] || !wanted(m) || !s.fitsModel(e, m, "") {
			continue
		}
		if best == "" || s.copies[m] < s.copies[best] || (s.copies[m] == s.copies[best] && m < best) {
			best = m
		}
	}
	return best
}

// bring chooses the engine for a copy of a model: the one with the least cost, which
// has to be at most zero. victimLimit is the most that a victim may be worth.
func (s *planState) bring(m, reason string, cost func(Engine) float64, victimLimit float64) bool {
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
			if s.StoreLoads <= 0 {
				continue
			}
			c += storePenalty
		}
		victim, ok := s.victim(*e, m, victimLimit)
		if !ok {
			continue
		}
		c += s.share(victim) + s.load[e.ID]*1e-3
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

// victim returns the model on the engine that is worth least, "" if there is room
// without one. ok is false if no single model makes enough room. The last copy that
// can be used never makes way: another one that is still being loaded is of no use to
// callers for seconds.
func (s *planState) victim(e Engine, m string, limit float64) (string, bool) {
	if s.fitsModel(e, m, "") {
		return "", true
	}
	best := ""
	for v := range e.Models {
		if s.ready[v] < 2 || s.copies[v] < 2 || s.share(v) > limit || !s.fitsModel(e, m, v) {
			continue
		}
		if s.Now.Before(s.Settled[SettledKey(e.ID, v)]) {
			continue
		}
		if best == "" || s.share(v) < s.share(best) || (s.share(v) == s.share(best) && s.copies[v] > s.copies[best]) {
			best = v
		}
	}
	return best, best != ""
}

// SettledKey names a model on an engine in Fleet.Settled.
func SettledKey(engine, model string) string { return engine + " " + model }

// fitsModel reports whether a model fits beside what the engine holds without the
// evicted one, whose adapters go with it.
func (s *planState) fitsModel(e Engine, m, evict string) bool {
	sum := s.Spec.Models[m].MemoryMB
	for held := range e.Models {
		if held != evict {
			sum += s.Spec.Models[held].MemoryMB
		}
	}
	for item := range e.Adapters {
		model, _, _ := strings.Cut(item, "/")
		if model != evict {
			sum += s.Spec.Models[model].AdapterMB
		}
	}
	return sum+s.reserve() <= s.Spec.WeightsMB
}

// reserve is the memory kept for adapters, so that a model that is brought does not
// leave an engine without room for any.
func (s *planState) reserve() float64 {
	largest := 0.0
	for _, m := range s.Spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(s.Spec.AdapterSlots)
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
	s.weigh()
}
