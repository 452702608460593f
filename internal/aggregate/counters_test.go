package aggregate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// at is when the tests take place.
var at = time.Unix(1000, 0)

func newCounts(started int64) *Counters[Count] { return NewCounters[Count](started, &Version{}) }

// sum returns all sums with this VM's own counts: only those of near sources, or all but one.
func sum(c *Counters[Count], own map[string]Count, nearOnly bool, except string) map[string]Count {
	c.SetOwn(own)
	if nearOnly {
		return c.Since(topology.ScopeDomain, 0, except)
	}
	return c.Since(topology.ScopeAll, 0, except)
}

// A hub passes on what its VMs admitted. One of them starts again and counts from zero;
// to the others the sum must not fall back, or what was admitted would be admitted twice.
func TestSumsGoOnWhenAVMStartsAgain(t *testing.T) {
	c := newCounts(100)
	c.Take("a", 200, true, map[string]Count{"x": 5}, at)
	c.Take("b", 201, false, nil, at)
	c.Take("b", 201, false, map[string]Count{"x": 7, "y": 1}, at)
	require.Equal(t, map[string]Count{"x": 13, "y": 1}, sum(c, map[string]Count{"x": 1}, false, ""))
	c.Take("a", 300, true, map[string]Count{"x": 2}, at)
	require.Equal(t, Count(15.0), sum(c, map[string]Count{"x": 1}, false, "")["x"])
	require.Equal(t, Count(8.0), sum(c, map[string]Count{"x": 1}, true, "")["x"])
	require.Equal(t, Count(8.0), sum(c, map[string]Count{"x": 1}, false, "b")["x"])
}

// A new hub hears of VMs that have counted for hours. Passing their whole totals on would
// empty every team's bucket at once.
func TestOldTotalsAreNotPassedOnByANewHub(t *testing.T) {
	c := newCounts(1000)
	c.Take("old", 10, true, map[string]Count{"x": 1e9}, at)
	require.Zero(t, sum(c, nil, false, "")["x"])
	c.Take("old", 10, true, map[string]Count{"x": 1e9 + 3}, at)
	require.Equal(t, Count(3.0), sum(c, nil, false, "")["x"])
}

func TestMissingNamesHaveNotChanged(t *testing.T) {
	c := newCounts(1)
	c.Take("a", 2, true, map[string]Count{"x": 1, "y": 1}, at)
	c.Take("a", 2, true, map[string]Count{"x": 2}, at)
	require.Equal(t, map[string]Count{"x": 2, "y": 1}, sum(c, nil, false, ""))
}

// A VM reported to another hub for a while and comes back. What it counted meanwhile has
// reached everyone already; counted again, it would be a debt of every team.
func TestWhatWasReportedElsewhereIsNotAddedAgain(t *testing.T) {
	c := newCounts(1)
	c.Take("a", 2, true, map[string]Count{"x": 10}, at)
	c.Take("a", 2, true, map[string]Count{"x": 500}, at.Add(5*time.Second))
	c.Take("a", 2, true, map[string]Count{"x": 501}, at.Add(5250*time.Millisecond))
	require.Equal(t, Count(11.0), sum(c, nil, false, "")["x"])
}

// A VM reports to its hub, and the hub's own report to it must not be taken out of what the VM
// itself did: the team's use would seem to fall, and rise again with the next report.
func TestOwnCountsDoNotLackWhatTheReceiverToldOf(t *testing.T) {
	c := newCounts(1)
	c.SetOwn(map[string]Count{"x": 3})
	c.Take("hub", 2, true, map[string]Count{"x": 1}, at)
	c.Take("hub", 2, true, map[string]Count{"x": 5}, at)
	c.Take("far", 2, false, nil, at)
	c.Take("far", 2, false, map[string]Count{"x": 7}, at)
	require.Equal(t, map[string]Count{"x": 3}, c.Since(topology.ScopeOwn, 0, "hub"))
	require.Equal(t, map[string]Count{"x": 8}, c.Since(topology.ScopeDomain, 0, "far"))
	require.Equal(t, map[string]Count{"x": 10}, c.Since(topology.ScopeAll, 0, "hub"))
}

// A hub makes hundreds of reports a second about a thousand names. Each that told all of them
// took milliseconds of its processor, and of each receiver's link.
func TestReceiversAreToldOfChangesOnly(t *testing.T) {
	version := &Version{}
	c := NewCounters[Count](1, version)
	c.SetOwn(map[string]Count{"x": 3, "y": 4})
	told := version.Number()
	require.Empty(t, c.Since(topology.ScopeAll, told, ""))
	c.Take("a", 2, true, map[string]Count{"y": 1}, at)
	require.Equal(t, map[string]Count{"y": 5}, c.Since(topology.ScopeAll, told, ""))
	require.Empty(t, c.Since(topology.ScopeOwn, told, ""))
	require.Equal(t, map[string]Count{"x": 3, "y": 5}, c.Since(topology.ScopeAll, 0, ""))
}
