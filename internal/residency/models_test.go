package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// testSpec has models of 70 GB on engines of 200 GB: two fit, beside adapters.
func testSpec(models int) *catalog.EngineSpec {
	s := &catalog.EngineSpec{WeightsMB: 200_000, AdapterSlots: 4, Models: make(map[string]catalog.Model)}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		s.Models[name] = catalog.Model{Name: name, MemoryMB: 70_000, AdapterMB: 50, LoadTime: 4 * time.Second}
	}
	return s
}

func engine(id string, models ...string) Engine {
	e := Engine{ID: id, Usable: true, Models: make(map[string]bool), Adapters: make(map[string]time.Time), Quick: make(map[string]bool)}
	for _, m := range models {
		e.Models[m] = true
	}
	return e
}

// A crash takes the only copy of a model. It is asked for a few times a minute, and each
// of its callers would be refused until it is back somewhere.
func TestMissingModelComesBack(t *testing.T) {
	f := Fleet{Spec: testSpec(3), StoreLoads: 1, Engines: []Engine{engine("a", "m0", "m1"), engine("b", "m0", "m1")}}
	moves := PlanModels(f)
	require.Len(t, moves, 1)
	require.Equal(t, "m2", moves[0].Load)
	require.NotEmpty(t, moves[0].Evict)
}

// Three of four models are asked for, and two engines have room for two each. The fourth
// model's only copy would keep the busiest one from a second engine. It makes way, since
// its weights stay at hand there, and comes back when it is asked for; while requests of
// it still run it stays.
func TestModelThatNobodyAsksForMakesWay(t *testing.T) {
	f := func(running int) Fleet {
		a, b := engine("a", "m0", "m1"), engine("b", "m2", "m3")
		b.Quick["m3"], b.Quick["m0"] = true, true
		b.Running = map[string]int{"m3": running}
		return Fleet{
			Engines: []Engine{a, b}, Spec: testSpec(4), Now: time.Now(), Idle: map[string]bool{"m3": true},
			Demand:  map[string]float64{"m0": 1.6, "m1": 0.05333, "m2": 0.05333},
			Certain: map[string]float64{"m0": 1.333, "m1": 0.02667, "m2": 0.02667},
		}
	}
	moves := PlanModels(f(0))
	require.Equal(t, []ModelMove{{Engine: "b", Load: "m0", Evict: "m3", Reason: "busy"}}, moves)
	require.Empty(t, PlanModels(f(1)))

	asked := f(0)
	asked.Engines[1] = engine("b", "m2", "m0")
	asked.Engines[1].Quick["m3"] = true
	require.Empty(t, PlanModels(asked), "nobody asks for it")
	asked.Idle["m3"] = false
	asked.Demand["m3"] = 0.24
	moves = PlanModels(asked)
	require.Len(t, moves, 1)
	require.Equal(t, "m3", moves[0].Load)
	require.False(t, moves[0].FromStore)
}

// An engine holds the only copy of a model that nobody has asked for of late, and one of
// three copies of a model whose demand has just gone. A third model is missing. If the only
// copy made way, the next shift of demand would find its model nowhere, and all its callers
// would be refused for as long as a load takes.
func TestLastCopyStaysWhileAnotherModelHasSpareOnes(t *testing.T) {
	a, b, c := engine("a", "m0", "m1"), engine("b", "m0", "m3"), engine("c", "m0", "m4")
	a.Quick["m1"], a.Quick["m2"] = true, true
	moves := PlanModels(Fleet{
		Engines: []Engine{a, b, c}, Spec: testSpec(5), Now: time.Now(), Idle: map[string]bool{"m1": true},
		Demand: map[string]float64{"m0": 0.02, "m2": 0.3, "m3": 0.2, "m4": 0.2}, Certain: map[string]float64{"m2": 0.2},
	})
	require.Len(t, moves, 1)
	require.Equal(t, ModelMove{Engine: "a", Load: "m2", Evict: "m0", Reason: "missing"}, moves[0])
}

// Every engine serves a model whose callers fill them all, and a model that is asked for every
// few seconds is missing. In place of a copy of the busy one it would serve one caller while
// twenty were refused.
func TestBusyModelGivesUpNoCopyToARareOne(t *testing.T) {
	f := Fleet{
		Engines: []Engine{engine("a", "m0", "m1"), engine("b", "m0", "m2")}, Spec: testSpec(4), StoreLoads: 1, Now: time.Now(),
		Demand:  map[string]float64{"m0": 1.8, "m1": 0.02, "m2": 0.02, "m3": 0.02},
		Certain: map[string]float64{"m0": 1.6},
	}
	require.Empty(t, PlanModels(f))
	f.Demand["m0"] = 0.4
	moves := PlanModels(f)
	require.Len(t, moves, 1)
	require.Equal(t, "m3", moves[0].Load)
}

// A load from the weight store takes seconds, and a plan is made several times a second.
// Without counting what is under way each plan would order one more copy.
func TestModelUnderWayIsNotOrderedAgain(t *testing.T) {
	busy := engine("a", "m0")
	busy.Busy, busy.Coming = true, "m2"
	f := Fleet{Spec: testSpec(3), StoreLoads: 5, Engines: []Engine{busy, engine("b", "m0", "m1"), engine("c", "m0", "m1")}}
	for _, m := range PlanModels(f) {
		require.NotEqual(t, "m2", m.Load)
	}
}

// A model is missing, and demand has moved away from two others a moment ago. Streams of
// one of them still run on the first engine. An unload there would wait for them for
// seconds, in which the missing model could be had nowhere.
func TestModelInUseDoesNotMakeWay(t *testing.T) {
	a, b := engine("a", "m0", "m1"), engine("b", "m0", "m1")
	a.Running = map[string]int{"m0": 3, "m1": 3}
	b.Running = map[string]int{"m1": 2}
	moves := PlanModels(Fleet{Engines: []Engine{a, b}, Spec: testSpec(3), StoreLoads: 1, Now: time.Now()})
	require.Len(t, moves, 1)
	require.Equal(t, ModelMove{Engine: "b", Load: "m2", Evict: "m0", FromStore: true, Reason: "missing"}, moves[0])
}

// A second copy of a model is being loaded. The first one must not make way before it is
// there: callers of the model would be refused for seconds.
func TestLastUsableCopyStays(t *testing.T) {
	busy := engine("a", "m0")
	busy.Busy, busy.Coming = true, "m1"
	f := Fleet{
		Spec: testSpec(3), StoreLoads: 5, Engines: []Engine{busy, engine("b", "m0", "m1")},
		Demand: map[string]float64{"m2": 2.4}, Certain: map[string]float64{"m2": 2.133},
	}
	for _, m := range PlanModels(f) {
		require.NotEqual(t, "m1", m.Evict)
	}
}

// One long prompt comes for a model that is asked for rarely. It looks like a demand of
// a part of an engine, and bringing the model elsewhere would cost a load that
// a model with real demand needs.
func TestSinglePromptMovesNothing(t *testing.T) {
	f := Fleet{
		Spec: testSpec(2), StoreLoads: 5, Engines: []Engine{engine("a", "m0", "m1"), engine("b", "m0")},
		Demand: map[string]float64{"m1": 0.8, "m0": 1.067}, Certain: map[string]float64{"m1": 0, "m0": 0.8},
	}
	require.Empty(t, PlanModels(f))
}

// Demand moves to a model that one engine of six holds, beside a model whose callers have
// gone. The engine would be asked for several times what it reads. The plan is followed
// until it rests, and the load of the busiest engine is compared before and after.
func TestRisingModelSpreads(t *testing.T) {
	var engines []Engine
	for i := range 6 {
		e := engine(fmt.Sprint(i), "m0")
		e.Quick["m1"] = true
		engines = append(engines, e)
	}
	engines[0].Models["m1"] = true
	demand := map[string]float64{"m0": 0.08, "m1": 3.2}
	before := busiest(engines, demand)
	for range 10 {
		for _, m := range PlanModels(Fleet{Spec: testSpec(2), Engines: clone(engines), Demand: demand, Certain: demand}) {
			for i := range engines {
				if engines[i].ID == m.Engine {
					delete(engines[i].Models, m.Evict)
					engines[i].Models[m.Load] = true
				}
			}
		}
	}
	require.Less(t, busiest(engines, demand), before/5)
}

func clone(engines []Engine) []Engine {
	out := make([]Engine, len(engines))
	for i, e := range engines {
		out[i] = e
		out[i].Models = make(map[string]bool)
		for m := range e.Models {
			out[i].Models[m] = true
		}
	}
	return out
}

func busiest(engines []Engine, demand map[string]float64) float64 {
	copies := map[string]float64{}
	for _, e := range engines {
		for m := range e.Models {
			copies[m]++
		}
	}
	most := 0.0
	for _, e := range engines {
		sum := 0.0
		for m := range e.Models {
			sum += demand[m] / copies[m]
		}
		most = max(most, sum)
	}
	return most
}

// Whatever the engines hold and whatever is asked for, no plan overfills an engine, gives a
// busy engine an order, begins more loads from the weight store than it may, or takes the
// last usable copy of a model away that is asked for, that requests use, or whose weights
// the engine does not keep at hand.
func TestPlansAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := testSpec(8)
		for name, m := range spec.Models {
			m.MemoryMB = float64(rapid.IntRange(20, 80).Draw(t, "size") * 1000)
			m.Adapters = rapid.IntRange(0, 3).Draw(t, "adapters")
			spec.Models[name] = m
		}
		f := Fleet{
			Spec: spec, StoreLoads: rapid.IntRange(0, 3).Draw(t, "loads"), Demand: map[string]float64{}, Certain: map[string]float64{},
			Idle: map[string]bool{}, Settled: map[string]time.Time{}, Now: time.Now(),
		}
		for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
			f.Engines = append(f.Engines, drawEngine(t, fmt.Sprint(i), spec))
		}
		for m := range spec.Models {
			f.Demand[m] = rapid.SampledFrom([]float64{0, 0.00003, 0.003, 0.13, 1.3, 5}).Draw(t, "demand")
			f.Certain[m] = f.Demand[m] * rapid.Float64Range(0, 1).Draw(t, "certain")
			f.Idle[m] = f.Demand[m] < idleDemand && rapid.Bool().Draw(t, "idle")
		}
		before, ready := clone(f.Engines), map[string]int{}
		for _, e := range before {
			for m := range e.Models {
				if e.Usable {
					ready[m]++
				}
			}
		}
		check(t, f, before, ready, PlanModels(f))
	})
}

func drawEngine(t *rapid.T, id string, spec *catalog.EngineSpec) Engine {
	e := engine(id)
	for m := range spec.Models {
		if rapid.Bool().Draw(t, "holds") && UsedMB(e, spec)+spec.Models[m].MemoryMB <= spec.WeightsMB {
			e.Models[m] = true
		}
		e.Quick[m] = rapid.Bool().Draw(t, "quick")
	}
	e.Running = map[string]int{"m0": rapid.IntRange(0, 2).Draw(t, "running")}
	e.Usable = rapid.IntRange(0, 4).Draw(t, "usable") > 0
	e.Busy = rapid.IntRange(0, 3).Draw(t, "busy") == 0
	return e
}

func check(t *rapid.T, f Fleet, engines []Engine, ready map[string]int, moves []ModelMove) {
	spec, loads, seen := f.Spec, f.StoreLoads, map[string]bool{}
	for _, move := range moves {
		for i := range engines {
			e := &engines[i]
			if e.ID != move.Engine {
				continue
			}
			if seen[e.ID] || e.Busy || !e.Usable {
				t.Fatalf("order to %s: %+v", e.ID, move)
			}
			seen[e.ID] = true
			if move.Evict != "" {
				ready[move.Evict]--
				wanted := !f.Idle[move.Evict] || e.Running[move.Evict] > 0
				if ready[move.Evict] < 1 && (wanted || !e.Quick[move.Evict]) {
					t.Fatalf("the last usable copy goes: %+v", move)
				}
				delete(e.Models, move.Evict)
			}
			e.Models[move.Load] = true
			if UsedMB(*e, spec) > spec.WeightsMB {
				t.Fatalf("overfilled: %+v", move)
			}
			if move.FromStore {
				loads--
			}
			if move.FromStore == e.Quick[move.Load] || loads < 0 {
				t.Fatalf("weight store: %+v", move)
			}
		}
	}
}
