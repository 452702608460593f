package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers of a busy model must not be refused for an engine's rate limit while another engine has room.
func TestBusyModelOfARateLimitedEngineGetsACopyElsewhere(t *testing.T) {
	fleet := func(occupied float64) Fleet {
		a, b := engine("a", "m0"), engine("b", "m1")
		a.RateLimited, a.Occupied = occupied > 0, occupied
		b.LocalWeights["m0"] = true
		return Fleet{
			Engines: []Engine{a, b}, Spec: testSpec(2), Now: time.Now(),
			Demand: map[string]float64{"m0": 0.2}, MinDemand: map[string]float64{"m0": 0.2},
		}
	}
	require.NotContains(t, reasons(PlanModels(fleet(0))), "busy")
	require.Contains(t, reasons(PlanModels(fleet(0.9))), "busy")
}

func reasons(moves []ModelMove) []string {
	var out []string
	for _, m := range moves {
		out = append(out, m.Reason)
	}
	return out
}

// Callers of an adapter must not wait for permits while another engine with the model has room.
func TestAdapterIsSoughtOnRateLimitedEnginesLast(t *testing.T) {
	now := time.Now()
	limited, free := engine("a", "m0"), engine("b", "m0")
	limited.RateLimited, limited.Adapters["m0/a1"] = true, now
	holder, move, ok := FindAdapter([]Engine{limited, free}, testSpec(2), "m0", "a1", now)
	require.True(t, ok)
	require.Empty(t, holder)
	require.Equal(t, "b", move.Engine)
	holder, _, ok = FindAdapter([]Engine{limited}, testSpec(2), "m0", "a1", now)
	require.True(t, ok)
	require.Equal(t, "a", holder)
	_, move, ok = FindAdapter([]Engine{limited}, testSpec(2), "m0", "a2", now)
	require.True(t, ok)
	require.Equal(t, "a", move.Engine)
}
