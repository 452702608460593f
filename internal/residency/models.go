package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// maxTargetLoadRatio is the fraction of a model's balanced load below which an engine's
	// load must lie for the engine to receive a new copy. With a smaller difference a copy
	// would shift load without making the slowest engine faster.
	maxTargetLoadRatio = 0.8
	// minScaleOutLoad is the engine load above which streams begin to stall during prefill.
	// Below it another copy improves no response.
	minScaleOutLoad = 0.25
	// minScaleOutDemand is the fraction of an engine's time that one copy of a model must
	// take for another copy to be worth an order. Below it, moving another model away
	// relieves a busy engine more.
	minScaleOutDemand = 0.1
	// minStoreLoadDemand is minScaleOutDemand for a copy that is loaded from the weight
	// store. The store allows few such loads; they take seconds and evict other weights from
	// the engine's disk.
	minStoreLoadDemand = 0.32
	// storeLoadPenalty is by how much the load of an engine that needs the weight store must
	// be below that of an engine with local weights, as a fraction of its time.
	storeLoadPenalty = 0.16
	// maxVictimRatio is the largest demand per copy of an evicted model, as a fraction of
	// minDemandPerCopy of the model that replaces it.
	maxVictimRatio = 0.4
	// idleDemand is the demand, as a fraction of an engine's time, below which a model counts
	// as not requested at present: what remains of the demand of the longest prompt after
	// about ten seconds of decay.
	idleDemand = 0.0013
	// protectedLoad is the load of a model's engines above which none of its copies is evicted
	// for a model with far less demand.
	protectedLoad = 0.5
	// missingModelRatio is how many times the demand for a missing model a copy of another
	// model must carry to be kept in its place. Without the copy, some callers of its model
	// are refused; until the missing model is loaded, all of its callers are.
	missingModelRatio = 8
	// maxVictimInFlight is how many requests an evicted model may have in flight. Most
	// streams take two to three seconds, so few of them end before the load is due.
	maxVictimInFlight = 3
	// inFlightCost is what a request in flight adds to the cost of unloading its model, as a
	// fraction of an engine's time. While an unload waits for requests the engine accepts no
	// other order.
	inFlightCost = 0.008
	// lastCopyCost is what unloading the last copy of a model adds, as a fraction of an
	// engine's time. Demand returns within seconds, and all of it is refused while the model
	// is loaded. Evicting one of several copies of a rarely used model costs less.
	lastCopyCost = 0.1
	// starvedAfter is how long a model in demand is missing until another one in demand makes way for it, and how
	// long that one has been there at least: where not all fit, they take turns.
	starvedAfter = 10 * time.Second
)

// ModelMove loads a model on an engine, "" if none. Evict holds the models to unload first.
type ModelMove struct {
	Engine, Load string
	Evict        []string
	// FromStore reports whether the weights come from the weight store.
	FromStore bool
	// Reason appears in logs only.
	Reason string
}

// Fleet is the input of a plan.
type Fleet struct {
	Engines []Engine
	Spec    *catalog.EngineSpec
	// Demand is the engine time requested per second by model, in seconds: 1 is the capacity
	// of one engine. MinDemand is its lower bound.
	Demand, MinDemand map[string]float64
	// Idle holds the models without recent requests.
	Idle map[string]bool
	// PinnedUntil is the time before which a model is not evicted from an engine, by PinKey,
	// so that no copy is dropped right after it was loaded.
	PinnedUntil map[string]time.Time
	// MissingSince holds the models in demand that no engine holds, with the time since which that is so.
	MissingSince map[string]time.Time
	// Wanted are models that streams wait for at a software version, which they cannot leave.
	Wanted []Wanted
	// StoreLoadBudget is how many loads from the weight store may begin now.
	StoreLoadBudget int
	Now             time.Time
}

// RecordMissing brings MissingSince up to date.
func (f *Fleet) RecordMissing() {
	held := make(map[string]bool, len(f.Spec.Models))
	for _, e := range f.Engines {
		held[e.Loading] = true
		for m := range e.Models {
			held[m] = true
		}
	}
	for m := range f.Spec.Models {
		_, missing := f.MissingSince[m]
		switch {
		case held[m] || f.Idle[m] || f.Demand[m] <= 0:
			delete(f.MissingSince, m)
		case !missing:
			f.MissingSince[m] = f.Now
		}
	}
}

// planState is a fleet with the totals that a plan needs, updated by each move.
type planState struct {
	Fleet
	// copies counts the engines that hold or are loading a model, usableCopies those where
	// it can be used.
	copies, usableCopies map[string]int
	// balance holds the loads of engines, nil after a move of a model in demand.
	balance *balance
	// delayed holds the models whose loads wait for unloads that take too long.
	delayed map[string]bool
	// reserveMB is the memory kept free for adapters on each engine.
	reserveMB float64
	// lastCopyCounts caches countLastCopies; nil after a move.
	lastCopyCounts map[string]int
	// byLoad caches leastLoadedFirst; nil after a move of a model in demand.
	byLoad []*Engine
	moves  []ModelMove
	// victim is what chooseVictims returns.
	victim [1]string
}

// PlanModels returns moves for engines that have none in progress, at most one for each:
// first models are unloaded that the configuration does not name, then those are placed that streams wait for,
// then models in demand that no engine holds, then further copies of models whose engines
// have much more load than others, then copies in free memory.
//
// A model without requests need not occupy memory: it stays reachable as long as an engine
// has its weights locally, since that engine reloads it within a second of the first
// request. Of some thirty models a few are busy at a time, and keeping one copy of each of
// the others would leave only half of the engines to the busy ones.
func PlanModels(f Fleet) []ModelMove {
	s := &planState{
		Fleet: f, copies: make(map[string]int), usableCopies: make(map[string]int), delayed: make(map[string]bool), reserveMB: adapterReserve(f.Spec),
	}
	f.Engines = indexed(f.Engines...)
	for _, e := range f.Engines {
		if e.DelayedLoad != "" {
			s.delayed[e.DelayedLoad] = true
		}
		if !e.Usable {
			continue
		}
		for m := range e.Models {
			s.usableCopies[m]++
		}
		if e.Loading != "" {
			// A load takes seconds. Until it ends the copy counts as present, or each plan
			// would order one more.
			e.Models[e.Loading] = true
		}
		for m := range e.Models {
			s.copies[m]++
		}
	}
	s.unloadUnnamed()
	s.placeWanted()
	s.restoreMissing()
	s.scaleOutBusy()
	s.restoreStoreOnly()
	s.preplaceAdapterModels()
	s.fillFreeMemory()
	return s.moves
}

// unloadUnnamed unloads the models that the configuration does not name any more, once their requests have ended. Until then
// nothing fits beside them.
func (s *planState) unloadUnnamed() {
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.available(*e) {
			continue
		}
		ended := slices.DeleteFunc(unnamedModels(e, s.Spec), func(m string) bool { return e.InFlight[m] > 0 })
		if len(ended) > 0 {
			s.apply(e, ModelMove{Engine: e.ID, Evict: ended, Reason: "dropped"})
		}
	}
}

// indexed returns the engines with their places among them.
func indexed(engines ...Engine) []Engine {
	for i := range engines {
		engines[i].index = i
	}
	return engines
}

// adapterReserve returns the memory in MB to keep free for adapters, so that loading a model
// does not leave an engine without room for any adapter. A model that no engine holds goes before it.
func adapterReserve(spec *catalog.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// idle reports whether a model has no recent requests.
func (s *planState) idle(m string) bool { return s.Idle[m] }

// byDemand returns all models of the service in descending order of demand per copy.
func (s *planState) byDemand() []string {
	names := make([]string, 0, len(s.Spec.Models))
	for m := range s.Spec.Models {
		names = append(names, m)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := s.demandPerCopy(a), s.demandPerCopy(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return names
}

// demandPerCopy is the demand that one copy of a model carries.
func (s *planState) demandPerCopy(m string) float64 {
	return s.Demand[m] / float64(max(1, s.copies[m]))
}

// minDemandPerCopy is the lower bound of the demand that one copy of a model carries.
func (s *planState) minDemandPerCopy(m string) float64 {
	return s.MinDemand[m] / float64(max(1, s.copies[m]))
}

// restoreMissing loads every model that is in demand and that no engine holds. Until it is
// loaded its callers wait or are refused. It replaces a model with less demand and few
// requests in flight, or, if there is none, any model that evictableForMissing admits. The
// latter happens once per missing model: if a second engine waited for its streams to end,
// the busy model would lose one engine after the other.
func (s *planState) restoreMissing() {
	for _, m := range s.byDemand() {
		if s.copies[m] > 0 || s.idle(m) {
			continue
		}
		if !s.placeModel(m, "missing", zeroCost, s.evictableBelow(s.Demand[m])) && !s.delayed[m] {
			s.placeModel(m, "missing", zeroCost, s.evictableForMissing(m))
		}
	}
	s.restoreStarved()
}

// restoreStarved loads the model that has been missing for longest of those that fit on an engine, if it has been for
// starvedAfter, in place of models in demand: a model that is never loaded is refused to all its callers for ever.
func (s *planState) restoreStarved() {
	var starved []string
	for m, since := range s.MissingSince {
		if s.copies[m] == 0 && !s.delayed[m] && s.Now.Sub(since) >= starvedAfter {
			starved = append(starved, m)
		}
	}
	slices.SortFunc(starved, func(a, b string) int {
		return cmp.Or(s.MissingSince[a].Compare(s.MissingSince[b]), strings.Compare(a, b))
	})
	settled := func(e Engine, v string) bool { return !s.Now.Before(s.PinnedUntil[PinKey(e.ID, v)].Add(starvedAfter)) }
	for _, m := range starved {
		if s.Spec.Models[m].MemoryMB > s.Spec.WeightsMB {
			continue
		}
		// Where it does not fit yet, models that need less room wait too: else they take turns among themselves.
		s.placeModel(m, "starved", zeroCost, settled)
		return
	}
}

// evictableForMissing admits models whose engines are not full, or whose copies do not carry
// many times the demand for the missing model m. A copy that serves twenty requests a second
// is worth more than one that serves a single request, although all callers of the missing
// model are refused.
func (s *planState) evictableForMissing(m string) evictionFilter {
	return func(e Engine, v string) bool {
		return s.copyExpendable(e, v) && (s.loads().balanced[v] <= protectedLoad || s.demandPerCopy(v) <= missingModelRatio*s.Demand[m])
	}
}

// restoreStoreOnly loads every model that no engine holds and whose weights no engine has
// locally: its first caller would wait for a load from the weight store.
func (s *planState) restoreStoreOnly() {
	for _, m := range s.byDemand() {
		if s.copies[m] == 0 && !s.hasLocalWeights(m) {
			s.placeModel(m, "missing", zeroCost, s.evictableBelow(idleDemand))
		}
	}
}

// hasLocalWeights reports whether a usable engine has the weights of a model locally.
func (s *planState) hasLocalWeights(m string) bool {
	for _, e := range s.Engines {
		if e.Usable && e.LocalWeights[m] {
			return true
		}
	}
	return false
}

func zeroCost(Engine) float64 { return 0 }
