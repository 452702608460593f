package aggregate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// testTime is the time of the first reports.
var testTime = time.Unix(1000, 0)

// justStarted is the incarnation of a VM that starts shortly before testTime, longRunning that of one
// that has run for an hour.
var (
	justStarted = testTime.Add(-time.Second).UnixNano()
	longRunning = testTime.Add(-time.Hour).UnixNano()
)

func newTestCounters() *Counters[Count] { return NewCounters[Count](&Version{}) }

// sumsWithOwn sets this VM's own counts and returns the sums of its failure domain or of all
// sources, without one VM's contribution.
func sumsWithOwn(c *Counters[Count], own map[string]Count, domainOnly bool, excludedVM string) map[string]Count {
	c.SetOwn(own)
	if domainOnly {
		return c.Since(topology.ScopeFollowers, 0, excludedVM)
	}
	return c.Since(topology.ScopeAll, 0, excludedVM)
}

// A VM that reports to a hub restarts and counts from zero. The hub's sum must not decrease,
// or the other VMs would admit the same tokens twice.
func TestSumsContinueAfterVMRestart(t *testing.T) {
	c := newTestCounters()
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 5}, testTime)
	c.Record("b", justStarted, topology.ScopeFollowers, false, nil, testTime)
	c.Record("b", justStarted, topology.ScopeFollowers, false, map[string]Count{"x": 7, "y": 1}, testTime)
	require.Equal(t, map[string]Count{"x": 13, "y": 1}, sumsWithOwn(c, map[string]Count{"x": 1}, false, ""))
	c.Record("a", justStarted+1, topology.ScopeOwn, true, map[string]Count{"x": 2}, testTime)
	require.Equal(t, Count(15.0), sumsWithOwn(c, map[string]Count{"x": 1}, false, "")["x"])
	require.Equal(t, Count(8.0), sumsWithOwn(c, map[string]Count{"x": 1}, true, "")["x"])
	require.Equal(t, Count(8.0), sumsWithOwn(c, map[string]Count{"x": 1}, false, "b")["x"])
}

// A VM becomes a hub and gets the first reports of VMs that have counted for hours.
// Forwarding their complete totals would empty every team's bucket at once.
func TestNewHubDoesNotForwardEarlierTotals(t *testing.T) {
	c := newTestCounters()
	c.Record("old", longRunning, topology.ScopeOwn, true, map[string]Count{"x": 1e9}, testTime)
	require.Zero(t, sumsWithOwn(c, nil, false, "")["x"])
	c.Record("old", longRunning, topology.ScopeOwn, true, map[string]Count{"x": 1e9 + 3}, testTime)
	require.Equal(t, Count(3.0), sumsWithOwn(c, nil, false, "")["x"])
}

func TestOmittedNamesAreUnchanged(t *testing.T) {
	c := newTestCounters()
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 1, "y": 1}, testTime)
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 2}, testTime)
	require.Equal(t, map[string]Count{"x": 2, "y": 1}, sumsWithOwn(c, nil, false, ""))
}

// A VM reports to another hub for a while and then to this one again. All VMs already have
// the counts of that time; adding them twice would put every team into debt.
func TestCountsReportedToAnotherHubAreNotAddedTwice(t *testing.T) {
	c := newTestCounters()
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 10}, testTime)
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 500}, testTime.Add(5*time.Second))
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 501}, testTime.Add(5250*time.Millisecond))
	require.Equal(t, Count(11.0), sumsWithOwn(c, nil, false, "")["x"])
}

// A hub fails, and the next VM of its domain takes its place. What the old hub had told this VM are the
// sums of all VMs, and what it tells as one of the new hub's VMs are its own counts. Their difference is
// no use of any team.
func TestScopeOfASourceChanges(t *testing.T) {
	c := newTestCounters()
	c.Record("hub", justStarted, topology.ScopeAll, true, map[string]Count{"x": 1e6}, testTime)
	c.Record("hub", justStarted, topology.ScopeAll, true, map[string]Count{"x": 1e6 + 4}, testTime)
	c.Record("hub", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 70}, testTime)
	c.Record("hub", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 75}, testTime)
	require.Equal(t, Count(9.0), sumsWithOwn(c, nil, false, "")["x"])
}

// A VM reports its own counts to its hub. The hub's contribution must not be subtracted from
// them: the team's use would seem to decrease, and to increase again with the next report.
func TestOwnScopeDoesNotSubtractReceiverCounts(t *testing.T) {
	c := newTestCounters()
	c.SetOwn(map[string]Count{"x": 3})
	c.Record("hub", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 1}, testTime)
	c.Record("hub", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 5}, testTime)
	c.Record("far", justStarted, topology.ScopeFollowers, false, nil, testTime)
	c.Record("far", justStarted, topology.ScopeFollowers, false, map[string]Count{"x": 7}, testTime)
	require.Equal(t, map[string]Count{"x": 3}, c.Since(topology.ScopeOwn, 0, "hub"))
	require.Equal(t, map[string]Count{"x": 8}, c.Since(topology.ScopeFollowers, 0, "far"))
	require.Equal(t, map[string]Count{"x": 10}, c.Since(topology.ScopeAll, 0, "hub"))
}

// A hub sends hundreds of reports a second about a thousand names. A report with all names
// would take milliseconds of the hub's processor and of each receiver's link.
func TestReportsHoldChangesOnly(t *testing.T) {
	version := &Version{}
	c := NewCounters[Count](version)
	c.SetOwn(map[string]Count{"x": 3, "y": 4})
	acknowledged := version.Number()
	require.Empty(t, c.Since(topology.ScopeAll, acknowledged, ""))
	c.Record("a", justStarted, topology.ScopeOwn, true, map[string]Count{"y": 1}, testTime)
	require.Equal(t, map[string]Count{"y": 5}, c.Since(topology.ScopeAll, acknowledged, ""))
	require.Empty(t, c.Since(topology.ScopeOwn, acknowledged, ""))
	require.Equal(t, map[string]Count{"x": 3, "y": 5}, c.Since(topology.ScopeAll, 0, ""))
}

// Guards against a VM that becomes a hub being told its own use as that of others.
func TestPartsOfAVMThatBecomesAHubAreLeftOut(t *testing.T) {
	c := newTestCounters()
	c.Record("b", justStarted, topology.ScopeOwn, true, map[string]Count{"x": 5}, testTime)
	c.Record("b", justStarted, topology.ScopeFollowers, false, map[string]Count{"x": 100}, testTime)
	c.Record("b", justStarted, topology.ScopeFollowers, false, map[string]Count{"x": 107}, testTime)
	require.Equal(t, map[string]Count{"x": 5}, c.Since(topology.ScopeFollowers, 0, ""))
	require.Equal(t, map[string]Count{"x": 12}, c.Since(topology.ScopeAll, 0, ""))
	require.Empty(t, c.Since(topology.ScopeFollowers, 0, "b"))
	require.Empty(t, c.Since(topology.ScopeAll, 0, "b"))
}
