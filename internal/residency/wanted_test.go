package residency

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The engine at which a stream began has ended, and other engines with its model have another version.
func TestWantedModelComesToAnEngineOfItsVersion(t *testing.T) {
	versioned := func(id, version string, models ...string) Engine {
		e := engine(id, models...)
		e.Version = version
		return e
	}
	fleetOf := func(engines ...Engine) Fleet {
		return Fleet{
			Spec: testSpec(4), StoreLoadBudget: 1, Engines: engines, Idle: map[string]bool{"m2": true, "m3": true},
			Wanted: []Wanted{{Model: "m0", Version: "v1", Avoid: []string{"ended"}}},
		}
	}
	ended, other := versioned("ended", "v1", "m0", "m1"), versioned("other", "v2", "m0", "m1")
	f := fleetOf(ended, other, versioned("free", "v1"))
	require.Empty(t, f.Wanted[0].Holder(f.Engines))
	moves := PlanModels(f)
	require.Equal(t, ModelMove{Engine: "free", Load: "m0", FromStore: true, Reason: "resumption"}, moves[0])
	require.Equal(t, "free", f.Wanted[0].Holder(f.Engines))

	f = fleetOf(ended, other, versioned("full", "v1", "m1", "m2"))
	f.Demand, f.MinDemand = map[string]float64{"m1": 0.5, "m2": 0.5}, map[string]float64{"m1": 0.5, "m2": 0.5}
	f.Idle = nil
	for _, move := range PlanModels(f) {
		require.NotEqual(t, "resumption", move.Reason, "no model in demand makes way for one stream")
	}
	require.Empty(t, f.Wanted[0].Holder(f.Engines))
	require.True(t, f.Wanted[0].Servable(f.Engines))

	f = fleetOf(ended, other)
	require.False(t, f.Wanted[0].Servable(f.Engines))

	f = fleetOf(ended, other, versioned("same", "v1", "m0", "m1"))
	for _, move := range PlanModels(f) {
		require.NotEqual(t, "resumption", move.Reason)
	}
}
