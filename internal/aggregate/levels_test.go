package aggregate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

// A VM's work on an engine ends. Receivers that are told of changes only have to be told that
// too, or the engine would look busy to them for good.
func TestLevelThatFallsToZeroIsTold(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.SetOwn(map[string]Count{"e1": 1})
	require.True(t, l.Take("a", true, true, map[string]Count{"e1": 2, "e2": 3}, at))
	require.Equal(t, map[string]Count{"e1": 3, "e2": 3}, l.Since(topology.ScopeAll, 0, "", at))
	told := version.Number()
	l.SetOwn(nil)
	require.True(t, l.Take("a", true, false, map[string]Count{"e2": 0}, at))
	require.Equal(t, map[string]Count{"e1": 2, "e2": 0}, l.Since(topology.ScopeAll, told, "", at))
	require.Equal(t, map[string]Count{"e1": 2}, l.Since(topology.ScopeAll, 0, "", at))
	require.Equal(t, map[string]Count{"e1": 2}, l.Of("a"))
}

// A VM dies with work in flight. What it had is gone a lifetime later, and when it is heard
// again, changes alone do not tell what it has.
func TestLevelsOfASilentVMExpire(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.Take("a", false, true, map[string]Count{"e1": 2}, at)
	told := version.Number()
	later := at.Add(1100 * time.Millisecond)
	require.Equal(t, map[string]Count{"e1": 0}, l.Since(topology.ScopeAll, told, "", later))
	require.False(t, l.Take("a", false, false, map[string]Count{"e2": 1}, later))
	require.True(t, l.Take("a", false, true, map[string]Count{"e2": 1}, later))
	require.Equal(t, map[string]Count{"e2": 1}, l.Since(topology.ScopeAll, 0, "", later))
}

// Upstreams come and go with new names each time. The names of those that are gone must not
// add up, and a receiver that knows them has to be told everything once.
func TestNamesThatAreGoneAreForgotten(t *testing.T) {
	version := &Version{}
	l := NewLevels[Count](time.Second, version)
	l.SetOwn(map[string]Count{"first": 1})
	told := version.Number()
	for i := range 4 * maxZero {
		l.SetOwn(map[string]Count{fmt.Sprint("e", i): 1})
	}
	require.Less(t, len(l.sums.cells[topology.ScopeAll]), 3*maxZero)
	require.False(t, l.Known(told))
	require.True(t, l.Known(version.Number()))
}
