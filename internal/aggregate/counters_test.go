package aggregate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// at is when the tests take place.
var at = time.Unix(1000, 0)

// A hub passes on what its VMs admitted. One of them starts again and counts from zero;
// to the others the sum must not fall back, or what was admitted would be admitted twice.
func TestSumsGoOnWhenAVMStartsAgain(t *testing.T) {
	c := NewCounters(100)
	c.Take("a", 200, true, map[string]float64{"x": 5}, at)
	c.Take("b", 201, false, nil, at)
	c.Take("b", 201, false, map[string]float64{"x": 7, "y": 1}, at)
	require.Equal(t, map[string]float64{"x": 13, "y": 1}, c.Sum(map[string]float64{"x": 1}, false, ""))
	c.Take("a", 300, true, map[string]float64{"x": 2}, at)
	require.Equal(t, 15.0, c.Sum(map[string]float64{"x": 1}, false, "")["x"])
	require.Equal(t, 8.0, c.Sum(map[string]float64{"x": 1}, true, "")["x"])
	require.Equal(t, 8.0, c.Sum(map[string]float64{"x": 1}, false, "b")["x"])
}

// A new hub hears of VMs that have counted for hours. Passing their whole totals on would
// empty every team's bucket at once.
func TestOldTotalsAreNotPassedOnByANewHub(t *testing.T) {
	c := NewCounters(1000)
	c.Take("old", 10, true, map[string]float64{"x": 1e9}, at)
	require.Zero(t, c.Sum(nil, false, "")["x"])
	c.Take("old", 10, true, map[string]float64{"x": 1e9 + 3}, at)
	require.Equal(t, 3.0, c.Sum(nil, false, "")["x"])
}

func TestMissingNamesHaveNotChanged(t *testing.T) {
	c := NewCounters(1)
	c.Take("a", 2, true, map[string]float64{"x": 1, "y": 1}, at)
	c.Take("a", 2, true, map[string]float64{"x": 2}, at)
	require.Equal(t, map[string]float64{"x": 2, "y": 1}, c.Sum(nil, false, ""))
}

// A VM reported to another hub for a while and comes back. What it counted meanwhile has
// reached everyone already; counted again, it would be a debt of every team.
func TestWhatWasReportedElsewhereIsNotAddedAgain(t *testing.T) {
	c := NewCounters(1)
	c.Take("a", 2, true, map[string]float64{"x": 10}, at)
	c.Take("a", 2, true, map[string]float64{"x": 500}, at.Add(5*time.Second))
	c.Take("a", 2, true, map[string]float64{"x": 501}, at.Add(5250*time.Millisecond))
	require.Equal(t, 11.0, c.Sum(nil, false, "")["x"])
}
