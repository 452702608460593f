package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

const (
	// worthMoving is the part of a model's level below which an engine's load has to be for
	// a new copy. Closer than that, a copy would move load about without making the slowest
	// engine faster.
	worthMoving = 0.8
	// leastLevel is the load of an engine from which its streams begin to stand still while
	// prompts are read: below it another copy serves nobody better.
	leastLevel = 0.25
	// leastShare is the part of an engine's time that one copy of a model has to take for
	// another one to be worth an order. Below it a busy engine is better relieved of
	// something else.
	leastShare = 0.1
	// leastStoreShare is the same for a copy from the weight store. Such loads are few, take
	// seconds and push other weights off the engine's disk.
	leastStoreShare = 0.32
	// storePenalty is by how much an engine that needs the weight store has to be emptier
	// than one that has the weights at hand, as a part of its time.
	storePenalty = 0.16
	// victimShare is the part of a copy's gain that its victim may be worth.
	victimShare = 0.4
	// idleDemand is the demand, as a part of an engine's time, below which nobody asks for a
	// model at present: what is left of the longest prompt after some ten seconds.
	idleDemand = 0.0013
	// pressedLevel is the load of its engines from which a model gives up no copy to one that is
	// asked for far less.
	pressedLevel = 0.5
	// missingWorth is how much more a copy has to carry than a missing model is asked for to
	// stay in its place: of the one some callers are refused, of the other all.
	missingWorth = 8
	// fewRunning is how many requests a model that makes way may have in flight: most
	// streams take two to three seconds, so that few are done when its load is due.
	fewRunning = 3
	// runningCost is what a request in flight adds to the cost of unloading its model, as a
	// part of an engine's time. While an unload waits for requests the engine takes no other
	// order.
	runningCost = 0.008
	// lastCopyCost is what the last copy of a model adds, as a part of an engine's time.
	// Demand comes back within seconds, and all of it is refused while the model is loaded;
	// another copy of a model that is little used can be spared more easily.
	lastCopyCost = 0.1
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
	// Demand is the engine time asked for in a second by model, in seconds: 1 is what one
	// engine can do. Certain is what it is at least.
	Demand, Certain map[string]float64
	// Idle names the models that nobody has asked for of late.
	Idle map[string]bool
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
	// load is the engine time that is asked of each engine in a second, parts what each model
	// brings to its holders of it, level the load up to which a model fills them.
	load  map[string]float64
	parts map[string]map[string]float64
	level map[string]float64
	// waiting names the models whose loads wait for unloads that take too long.
	waiting map[string]bool
	// reserve is the memory in MB that is kept for adapters on each engine.
	reserve float64
	// last counts the models of which an engine has the only copy; nil until it is asked for
	// after a move.
	last map[string]int
	// byLoad lists the engines, those with the least load first; nil as last is.
	byLoad []*Engine
	moves  []ModelMove
}

// PlanModels returns moves for engines that have none under way, at most one for
// each: first models that are asked for and that no engine holds, then further copies of
// models whose engines have much more to do than others, then copies in memory that is
// free.
//
// A model that nobody asks for need not take up memory: it stays reachable as long as an
// engine has its weights at hand, which brings it back within a second of the first
// request. Of some thirty models a few are busy at a time, and keeping one copy of each of
// the others would leave the busy ones half of the engines.
func PlanModels(f Fleet) []ModelMove {
	s := &planState{
		Fleet: f, copies: make(map[string]int), ready: make(map[string]int), waiting: make(map[string]bool), reserve: adapterReserve(f.Spec),
	}
	for _, e := range f.Engines {
		if e.Waiting != "" {
			s.waiting[e.Waiting] = true
		}
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
	s.restoreDistant()
	s.spreadAhead()
	s.fillFree()
	return s.moves
}

// adapterReserve is the memory kept for adapters, so that a model that is brought does not
// leave an engine without room for any.
func adapterReserve(spec *catalog.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

// idle reports whether nobody asks for a model at present.
func (s *planState) idle(m string) bool { return s.Idle[m] }

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

// restoreMissing brings every model that is asked for and that no engine holds to one.
// Until it is there its callers wait or are refused. It takes the place of a model that
// is asked for less and that few requests use just now; of another one only if there is
// none, and once: with a second engine that waits for its streams the busy model would
// lose one engine after the other.
func (s *planState) restoreMissing() {
	for _, m := range s.byDemand() {
		if s.copies[m] > 0 || s.idle(m) {
			continue
		}
		if !s.bring(m, "missing", anywhere, s.quiet(s.Demand[m])) && !s.waiting[m] {
			s.bring(m, "missing", anywhere, s.unpressed(m))
		}
	}
}

// unpressed lets models make way for a missing one whose engines are not full, or whose copies
// do not carry many times what it is asked for: a copy that carries twenty requests a second
// is worth more than one that carries one, although the other one's callers find none.
func (s *planState) unpressed(m string) victims {
	return func(e Engine, v string) bool {
		return s.mayLeave(e, v) && (s.level[v] <= pressedLevel || s.share(v) <= missingWorth*s.Demand[m])
	}
}

// restoreDistant brings every model to an engine that neither an engine holds nor has at
// hand: its first caller would wait for a load from the weight store.
func (s *planState) restoreDistant() {
	for _, m := range s.byDemand() {
		if s.copies[m] == 0 && !s.atHand(m) {
			s.bring(m, "missing", anywhere, s.quiet(idleDemand))
		}
	}
}

// atHand reports whether an engine that can be used has the weights of a model.
func (s *planState) atHand(m string) bool {
	for _, e := range s.Engines {
		if e.Usable && e.Quick[m] {
			return true
		}
	}
	return false
}

func anywhere(Engine) float64 { return 0 }
