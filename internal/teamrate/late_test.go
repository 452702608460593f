package teamrate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against VMs that share a rate among those they can reach: both sides of a partition would use all of it.
func TestUnreachableVMsAreAssumedToUseTheirPart(t *testing.T) {
	now := testEpoch
	l := New(Tolerance{}, 1)
	l.SetLimits(map[string]Limit{"team": {Rate: 1000, Burst: 1000}}, now)
	l.SetPeers(nil, 4, now)
	l.teams["team"].level = 0
	now = now.Add(startupPeriod)
	l.SetPeers(nil, 4, now)
	before := l.State("team", now).Level
	now = now.Add(time.Second)
	l.SetPeers(nil, 4, now)
	after := l.State("team", now).Level
	require.InDelta(t, 250, after-before, 1)
}

// Guards against a hub's VMs that go on at full rate while the hub itself hears nothing of other hubs.
func TestVMsThatTheHubDoesNotHearOfAreAssumedToUseTheirPart(t *testing.T) {
	now := testEpoch
	l := New(Tolerance{}, 1)
	l.SetLimits(map[string]Limit{"team": {Rate: 1000, Burst: 1000}}, now)
	l.SetPeers(map[string]int{"hub": 59}, 60, now)
	l.ApplyReport(Report{VM: "hub", Incarnation: 2}, now)
	l.teams["team"].level = 0
	levelAfter := func(lateVMs int) float64 {
		now = now.Add(testReport)
		l.ApplyReport(Report{VM: "hub", Incarnation: 2, LateVMs: lateVMs}, now)
		level := l.State("team", now).Level
		return level
	}
	require.InDelta(t, 250, levelAfter(45), 1)
	require.InDelta(t, 250+250*15/60, levelAfter(45), 1)
	require.InDelta(t, 3*250, levelAfter(0), 1, "what was assumed must come back")
}

// Guards against VMs that all admit a sudden demand from a full bucket because none hears of the others.
func TestLateVMsAreAssumedToAdmitAsMuchAsThisOne(t *testing.T) {
	now := testEpoch
	l := New(Tolerance{}, 1)
	l.SetLimits(map[string]Limit{"team": {Rate: 1000, Burst: 1000}}, now)
	l.SetPeers(map[string]int{"hub": 9}, 10, now)
	l.ApplyReport(Report{VM: "hub", Incarnation: 2}, now)
	l.teams["team"].level = 1000
	admit := func(after time.Duration) (level float64) {
		ok, _ := l.Admit("team", 10, now.Add(after))
		require.True(t, ok)
		return l.State("team", now).Level
	}
	for range 5 {
		admit(lateAfter)
	}
	level := admit(lateAfter)
	require.InDelta(t, 940, level, 5, "a hub that is not late has reported what its VMs have admitted")
	late := lateAfter + time.Millisecond
	require.Less(t, admit(late), level-10-4*5*unmatchedRequests)
	admitted := map[string]float64{"team": 630}
	l.ApplyReport(Report{VM: "hub", Incarnation: 2, Admitted: admitted}, now.Add(late))
	level = l.State("team", now).Level
	require.InDelta(t, 300, level, 5, "what was reported replaces what was assumed")
}
