package demand

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

var start = time.Unix(1_000_000, 0)

// The doors open and a house fills within a minute. If the estimate followed as
// slowly as it forgets, copies would be added when the rush is over.
func TestEstimateFollowsAFullHouseWithinAMinuteAndForgetsSlowly(t *testing.T) {
	e := NewEstimator(Options{})
	name := placement.Name{Model: "m"}
	now := start
	rate := func(tokens int64, seconds int) float64 {
		for range seconds {
			now = now.Add(time.Second)
			e.Hear(Report{VM: "vm1", WindowMS: 1000, Top: []Count{{Name: name, Tokens: tokens}}}, now)
			e.Rates(now)
		}
		return e.Rates(now)[name]
	}
	require.InDelta(t, 100, rate(100, 60), 1)
	require.Greater(t, rate(1000, 15), 900.0)
	require.Greater(t, rate(100, 60), 850.0, "a lull of a minute hardly shows")
	require.Less(t, rate(100, 3600), 110.0)
}

// An entry VM dies. Its last report must not count for ever, or the planner
// keeps copies for callers that have gone elsewhere.
func TestReportsOfASilentVMAreForgotten(t *testing.T) {
	e := NewEstimator(Options{Fall: time.Second})
	name := placement.Name{Model: "m", Adapter: "a"}
	e.Hear(Report{VM: "vm1", WindowMS: 1000, Top: []Count{{Name: name, Tokens: 100}}}, start)
	e.Rates(start)
	require.Greater(t, e.Rates(start.Add(10 * time.Second))[name], 80.0)
	require.Empty(t, e.Rates(start.Add(40*time.Second)))
}

func TestReportIsBoundedAndKeepsTheSum(t *testing.T) {
	c := NewCounter(start)
	for i := range 500 {
		c.Add(placement.Name{Model: "m", Adapter: fmt.Sprint(i)}, int64(i))
	}
	r := c.Cut("vm1", start.Add(2*time.Second))
	require.Len(t, r.Top, MaxTop)
	require.Equal(t, "499", r.Top[0].Adapter)
	sum := r.Rest
	for _, count := range r.Top {
		sum += count.Tokens
	}
	require.EqualValues(t, 499*500/2, sum)
	require.EqualValues(t, 2000, r.WindowMS)
	require.Empty(t, c.Cut("vm1", start.Add(3*time.Second)).Top)
}
