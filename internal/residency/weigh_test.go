package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWaterLevel(t *testing.T) {
	load := map[string]float64{"a": 0.6, "b": 0.1, "c": 0.3}
	for _, c := range []struct{ demand, level float64 }{{0, 0.1}, {0.1, 0.2}, {0.4, 0.4}, {0.8, 0.6}, {1.1, 0.7}} {
		require.InDelta(t, c.level, waterLevel(c.demand, []string{"a", "b", "c"}, load), 1e-9, c.demand)
	}
}

// Two models share an engine, and the second one has another engine to itself. Requests of
// the second one go where there is less to do, so the first engine is no busier than that: a
// plan that split them evenly would move models away from it for nothing.
func TestDemandGoesWhereThereIsTimeToSpare(t *testing.T) {
	s := &planState{Fleet: Fleet{
		Engines: []Engine{engine("a", "m0", "m1"), engine("b", "m1")}, Spec: testSpec(2),
		Demand: map[string]float64{"m0": 0.5, "m1": 0.4},
	}}
	s.weigh()
	require.InDelta(t, 0.5, s.load["a"], 0.05)
	require.InDelta(t, 0.4, s.load["b"], 0.05)
}

// A busy model fills its only engine. The other engine has next to nothing to do and no room:
// it holds two models that few ask for, each the last copy. Unless one of them gets a second
// home first, the busy model's callers are refused beside an idle engine.
func TestIdleEngineFullOfLastCopiesIsMadeRoomOn(t *testing.T) {
	a, b, c, d := engine("a", "m0", "m1"), engine("b", "m2", "m3"), engine("c", "m1", "m5"), engine("d", "m4", "m5")
	c.Quick["m2"], b.Quick["m0"] = true, true
	f := Fleet{
		Engines: []Engine{a, b, c, d}, Spec: testSpec(6), Now: time.Now(),
		Demand:  map[string]float64{"m0": 0.9, "m1": 0.01, "m2": 0.02, "m3": 0.03, "m4": 0.3, "m5": 0.02},
		Certain: map[string]float64{"m0": 0.8},
	}
	moves := PlanModels(f)
	require.Equal(t, []ModelMove{{Engine: "c", Load: "m2", Evict: "m1", Reason: "apart"}}, moves)
	moves = PlanModels(f)
	require.Equal(t, []ModelMove{{Engine: "b", Load: "m0", Evict: "m2", Reason: "busy"}}, moves, "the copy has come")
}
