package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

var startTime = time.Unix(1_000_000, 0)

// A flash crowd arrives within a minute. If the estimate rose as slowly as it
// falls, copies would be added only after the crowd has gone.
func TestEstimateRisesWithinAMinuteAndFallsSlowly(t *testing.T) {
	e := NewEstimator(Options{})
	name := placement.Name{Model: "m"}
	now := startTime
	rate := func(tokens int64, seconds int) float64 {
		for range seconds {
			now = now.Add(time.Second)
			e.Observe(Report{VM: "vm1", WindowMS: 1000, Top: []Count{{Name: name, Tokens: tokens}}}, now)
			e.Rates(now)
		}
		return e.Rates(now)[name]
	}
	require.InDelta(t, 100, rate(100, 60), 1)
	require.Greater(t, rate(1000, 15), 900.0)
	require.Greater(t, rate(100, 60), 850.0, "a lull of a minute must lower the estimate only slightly")
	require.Less(t, rate(100, 3600), 110.0)
}

// An entry VM dies. If its last report counted forever, the planner would keep
// copies for callers that have moved to other VMs.
func TestReportsOfADeadVMExpire(t *testing.T) {
	e := NewEstimator(Options{Fall: time.Second})
	name := placement.Name{Model: "m", Adapter: "a"}
	e.Observe(Report{VM: "vm1", WindowMS: 1000, Top: []Count{{Name: name, Tokens: 100}}}, startTime)
	e.Rates(startTime)
	require.Greater(t, e.Rates(startTime.Add(10 * time.Second))[name], 80.0)
	require.Empty(t, e.Rates(startTime.Add(40*time.Second)))
}

func TestReportIsBoundedAndKeepsTheSum(t *testing.T) {
	c := NewCounter(startTime)
	for i := range 500 {
		c.Add(placement.Name{Model: "m", Adapter: fmt.Sprint(i)}, int64(i))
	}
	r := c.CloseWindow("vm1", startTime.Add(2*time.Second))
	require.Len(t, r.Top, MaxTopNames)
	require.Equal(t, "499", r.Top[0].Adapter)
	sum := r.Rest
	for _, count := range r.Top {
		sum += count.Tokens
	}
	require.EqualValues(t, 499*500/2, sum)
	require.EqualValues(t, 2000, r.WindowMS)
	require.Empty(t, c.CloseWindow("vm1", startTime.Add(3*time.Second)).Top)
}
