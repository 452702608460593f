package vm

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// The leader of a fleet with twelve thousand engines changes, and the contents of all engines are
// new to every VM. A single report of them would not arrive within the time of an exchange over a
// narrow link, and after a failed exchange all contents are sent again: VMs would never learn which
// engines hold which models.
func TestContentsOfManyEnginesAreSentInParts(t *testing.T) {
	const engines = 12_000
	leader, follower := newContentsTable(), newContentsTable()
	var all []*peerpb.EngineContents
	for i := range engines {
		all = append(all, &peerpb.EngineContents{Instance: fmt.Sprint("engine-", i), Models: []string{"m"}})
	}
	leader.set(7, all)
	sendReport := func() {
		out := &peerpb.VMReport{}
		leader.addUnsent(out, "vm-2")
		require.LessOrEqual(t, len(out.Contents), maxReportedEngines)
		follower.merge(out.LeaderToken, out.Contents)
	}
	sendReport()
	leader.forgetSent("vm-2")
	for range engines / maxReportedEngines {
		sendReport()
	}
	require.Len(t, follower.engines, engines)
	out := &peerpb.VMReport{}
	leader.addUnsent(out, "vm-2")
	require.Empty(t, out.Contents, "everything was sent already")
}

// Guards against reports of one engine that cost more for each engine that has not changed.
func TestReportOfOneChangeDoesNotGrowWithTheEngines(t *testing.T) {
	reportCost := func(engines int) float64 {
		table := newContentsTable()
		var all []*peerpb.EngineContents
		for i := range engines {
			all = append(all, &peerpb.EngineContents{Instance: fmt.Sprint("engine-", i), OrdersAccepted: 1})
		}
		table.set(7, all)
		table.sent["vm-2"] = table.version
		orders := int64(1)
		return testing.AllocsPerRun(20, func() {
			orders++
			table.merge(7, []*peerpb.EngineContents{{Instance: "engine-0", OrdersAccepted: orders}})
			out := &peerpb.VMReport{}
			table.addUnsent(out, "vm-2")
			if len(out.Contents) != 1 {
				t.Fatal(out.Contents)
			}
		})
	}
	require.InDelta(t, reportCost(100), reportCost(10_000), 1)
}

// Guards against a new leader that sends every VM all engines.
func TestLeaderTellsOnlyWhatEntriesDoNotShow(t *testing.T) {
	entry := &upstream.Instance{OrdersAccepted: 4, Models: []upstream.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}}
	state := func(orders int64, unloading string, adapters ...string) *engineState {
		s := &engineState{ordersAccepted: orders, models: map[string]bool{"m": true}, adapters: make(map[string]bool), unloading: unloading}
		for _, a := range adapters {
			s.adapters[a] = true
		}
		return s
	}
	require.True(t, state(4, "", "m/a1").matchesEntry(entry))
	require.False(t, state(5, "", "m/a1").matchesEntry(entry))
	require.False(t, state(4, "").matchesEntry(entry))
	require.False(t, state(4, "n", "m/a1").matchesEntry(entry))
	require.False(t, state(4, "", "m/a1").matchesEntry(nil))
}

// Guards against moves that publish all engines when they end: a leader of thousands then stands still for seconds.
func TestPublishingOneEngineDoesNotGrowWithTheEngines(t *testing.T) {
	running := newCluster(t).start("a")
	cost := func(engines int) float64 {
		l := running.idle(t).planner
		l.token = 7
		for i := range engines {
			i := &upstream.Instance{ID: fmt.Sprint("engine-", i)}
			l.states[i.ID] = &engineState{instance: i, models: map[string]bool{"m": true}, published: true}
		}
		l.publishContents()
		moved := l.states["engine-0"]
		return testing.AllocsPerRun(20, func() {
			moved.ordersAccepted++
			l.publishEngine(moved)
			if l.contents.engines["engine-0"].OrdersAccepted != moved.ordersAccepted {
				t.Fatal("the move is not published")
			}
		})
	}
	require.InDelta(t, cost(10), cost(1000), 5)
}
