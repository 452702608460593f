package aggregate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// A VM's work on an engine ends. Reports that hold only changes must hold the zero too, or
// the engine would look busy to their receivers for good.
func TestLevelThatFallsToZeroIsReported(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.SetOwn(map[string]Count{"e1": 1})
	require.True(t, l.Record("a", true, true, map[string]Count{"e1": 2, "e2": 3}, testTime))
	require.Equal(t, map[string]Count{"e1": 3, "e2": 3}, l.Since(topology.ScopeAll, 0, "", testTime))
	acknowledged := version.Number()
	l.SetOwn(nil)
	require.True(t, l.Record("a", true, false, map[string]Count{"e2": 0}, testTime))
	require.Equal(t, map[string]Count{"e1": 2, "e2": 0}, l.Since(topology.ScopeAll, acknowledged, "", testTime))
	require.Equal(t, map[string]Count{"e1": 2}, l.Since(topology.ScopeAll, 0, "", testTime))
	require.Equal(t, map[string]Count{"e1": 2}, l.Of("a"))
}

// A VM fails with work in flight. Its levels expire after the lifetime, and a later report
// that holds only changes is rejected, since the rest of its levels is unknown.
func TestLevelsOfASilentVMExpire(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.Record("a", false, true, map[string]Count{"e1": 2}, testTime)
	acknowledged := version.Number()
	later := testTime.Add(1100 * time.Millisecond)
	require.Equal(t, map[string]Count{"e1": 0}, l.Since(topology.ScopeAll, acknowledged, "", later))
	require.False(t, l.Record("a", false, false, map[string]Count{"e2": 1}, later))
	require.True(t, l.Record("a", false, true, map[string]Count{"e2": 1}, later))
	require.Equal(t, map[string]Count{"e2": 1}, l.Since(topology.ScopeAll, 0, "", later))
}

// Upstreams are replaced under new names. The names of removed ones must not accumulate, and
// a receiver that still has them needs one complete report.
func TestNamesOfRemovedUpstreamsArePruned(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.SetOwn(map[string]Count{"first": 1})
	acknowledged := version.Number()
	for i := range 4 * maxZeroNames {
		l.SetOwn(map[string]Count{fmt.Sprint("e", i): 1})
	}
	require.Less(t, len(l.sums.sums[topology.ScopeAll]), 3*maxZeroNames)
	require.False(t, l.RetainsChangesSince(acknowledged))
	require.True(t, l.RetainsChangesSince(version.Number()))
}

// A VM that followed this hub becomes a hub itself: its load moves to the sums of all VMs.
func TestLevelsOfAVMThatBecomesAHubMove(t *testing.T) {
	l := NewLevels[Count](time.Second, &Version{})
	require.True(t, l.Record("b", true, true, map[string]Count{"e1": 4}, testTime))
	require.False(t, l.Record("b", false, false, map[string]Count{"e1": 5}, testTime), "a change cannot be added to levels of another scope")
	require.True(t, l.Record("b", false, true, map[string]Count{"e1": 6}, testTime))
	require.Empty(t, l.Since(topology.ScopeFollowers, 0, "", testTime))
	require.Equal(t, map[string]Count{"e1": 6}, l.Since(topology.ScopeAll, 0, "", testTime))
}
