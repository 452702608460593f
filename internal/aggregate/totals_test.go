package aggregate

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/topology"
)

func newTestTotals(vm string, started time.Time) *Totals {
	return NewTotals(Source{VM: vm, Incarnation: started.UnixNano()}, &Version{}, started)
}

// mergeTotals merges totals of a VM that has started at a time, and returns their increase.
func mergeTotals(t *Totals, vm string, started time.Time, follows, complete bool, totals map[string]float64, now time.Time) map[string]float64 {
	increase := make(map[string]float64)
	t.Merge(Source{VM: vm, Incarnation: started.UnixNano()}, follows, complete, totals, increase, now)
	return increase
}

// Guards against debts for what was admitted in the hours before a VM started.
func TestTotalsFromBeforeTheStartAreNotCounted(t *testing.T) {
	totals := newTestTotals("self", testTime)
	old, young := testTime.Add(-time.Hour), testTime.Add(-time.Second)
	require.Empty(t, mergeTotals(totals, "old", old, false, true, map[string]float64{"x": 1e9}, testTime))
	require.Equal(t, map[string]float64{"x": 3}, mergeTotals(totals, "old", old, false, true, map[string]float64{"x": 1e9 + 3}, testTime))
	require.Equal(t, map[string]float64{"y": 2}, mergeTotals(totals, "old", old, false, false, map[string]float64{"y": 2}, testTime), "what changes afterwards counts")
	require.Equal(t, map[string]float64{"x": 4}, mergeTotals(totals, "young", young, false, true, map[string]float64{"x": 4}, testTime))
	later := testTime.Add(2 * joinPeriod)
	require.Equal(t, map[string]float64{"x": 5}, mergeTotals(totals, "idle", old, false, true, map[string]float64{"x": 5}, later), "a VM that was idle until now has nothing from before")
}

// Guards against use that is lost when a VM restarts and counts from zero.
func TestRestartedVMCountsInFull(t *testing.T) {
	totals := newTestTotals("self", testTime)
	now := testTime.Add(time.Minute)
	mergeTotals(totals, "a", testTime, true, true, map[string]float64{"x": 50}, now)
	require.Equal(t, map[string]float64{"x": 7}, mergeTotals(totals, "a", now, true, true, map[string]float64{"x": 7}, now))
}

// Guards against a VM that begins to follow this one and whose earlier totals the other hubs never get.
func TestTotalsOfANewFollowerArePassedOnInFull(t *testing.T) {
	totals := newTestTotals("self", testTime)
	mergeTotals(totals, "a", testTime, false, true, map[string]float64{"x": 1, "y": 2}, testTime)
	require.Empty(t, totals.Since(topology.ScopeFollowers, 0, ""))
	mergeTotals(totals, "a", testTime, true, false, map[string]float64{"x": 3}, testTime)
	a := Source{VM: "a", Incarnation: testTime.UnixNano()}
	require.Equal(t, map[Source]map[string]float64{a: {"x": 3, "y": 2}}, totals.Since(topology.ScopeFollowers, 0, ""))
	require.Empty(t, totals.Since(topology.ScopeAll, 0, "a"))
}

// Guards against totals of ended processes that are kept for good.
func TestTotalsOfEndedProcessesAreRemoved(t *testing.T) {
	totals := newTestTotals("self", testTime)
	totals.SetOwn(map[string]float64{"x": 1}, testTime)
	mergeTotals(totals, "gone", testTime, true, true, map[string]float64{"x": 1}, testTime)
	mergeTotals(totals, "idle", testTime, true, true, map[string]float64{"x": 1}, testTime)
	known := func(s Source) bool { return s.VM == "idle" }
	totals.RemoveUnknown(known, testTime.Add(totalsRetention))
	require.Len(t, totals.sources, 3)
	totals.RemoveUnknown(known, testTime.Add(totalsRetention+1))
	require.Len(t, totals.sources, 2)
	require.Len(t, totals.Since(topology.ScopeAll, 0, "self"), 1)
}

// Guards against ended processes that VMs keep alive by telling each other of them: one that had forgotten them would count them anew.
func TestTotalsThatAreToldAgainAreRemovedInTime(t *testing.T) {
	totals := newTestTotals("self", testTime)
	mergeTotals(totals, "gone", testTime, false, true, map[string]float64{"x": 1}, testTime)
	mergeTotals(totals, "gone", testTime, false, true, map[string]float64{"x": 1}, testTime.Add(totalsRetention))
	totals.RemoveUnknown(func(Source) bool { return false }, testTime.Add(totalsRetention+1))
	require.Empty(t, totals.sources)
}

// Guards against units that are hidden or counted twice when reports are lost, late or arrive twice.
func TestTotalsAgreeWhateverIsLostOnTheWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		now := testTime
		var all [vms]*Totals
		var counted [vms]map[string]float64
		var own [vms]map[string]float64
		for i := range vms {
			all[i], counted[i], own[i] = newTestTotals(fmt.Sprint(i), testTime), make(map[string]float64), make(map[string]float64)
		}
		type message struct {
			to     int
			totals map[Source]map[string]float64
		}
		var sent []message
		deliver := func(m message) {
			for source, totals := range m.totals {
				all[m.to].Merge(source, false, false, totals, counted[m.to], now)
			}
		}
		send := func(from, to int) message {
			all[from].SetOwn(maps.Clone(own[from]), now)
			return message{to, all[from].Since(topology.ScopeAll, 0, fmt.Sprint(to))}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				own[i][rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")] += float64(rapid.IntRange(1, 9).Draw(t, "units"))
			case 1:
				if to := rapid.IntRange(0, vms-1).Draw(t, "to"); to != i {
					sent = append(sent, send(i, to))
				}
			case 2:
				// A message that is never drawn is lost, one that is drawn twice is doubled.
				if len(sent) > 0 {
					deliver(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "message")])
				}
			}
		}
		for range 2 {
			for from := range vms {
				for to := range vms {
					if from != to {
						deliver(send(from, to))
					}
				}
			}
		}
		for i := range vms {
			for _, team := range []string{"x", "y"} {
				want := 0.0
				for j := range vms {
					if j != i {
						want += own[j][team]
					}
				}
				require.Equal(t, want, counted[i][team], "VM %d, team %s", i, team)
			}
		}
	})
}
