package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// suspect returns a table in which three upstreams have ended at once under a request, that was answered before if sound is set.
func suspect(vm string, sound bool, now time.Time) *Table {
	table := NewTable(vm)
	if sound {
		table.RecordAnswer(1, now.Add(-time.Second))
	}
	endUpstreams(table, 1, 3, now)
	endUpstreams(table, 2, 3, now)
	return table
}

// Guards against a sound request that is held although an answer shows that the upstreams ended for another reason.
func TestAnswerToATrialClearsARequest(t *testing.T) {
	table := suspect("a", true, at(0))
	left, suspected := table.Suspected(1, 3, at(0))
	require.True(t, suspected)
	require.False(t, table.TrySuspected(1, 3, at(left-time.Millisecond)))
	require.True(t, table.TrySuspected(1, 3, at(left)))
	require.False(t, table.TrySuspected(1, 3, at(left)), "one at a time")
	require.Equal(t, 3, table.RecordAnswer(1, at(left+time.Second)))
	_, suspected = table.Suspected(1, 3, at(left+time.Second))
	require.False(t, suspected)
	require.False(t, isQuarantined(table, 1, at(left+time.Second)))
}

// Guards against trials of a request that go on ending upstreams.
func TestEndOfATrialQuarantinesTheRequest(t *testing.T) {
	for _, sound := range []bool{false, true} {
		table := suspect("a", sound, at(0))
		left, suspected := table.Suspected(1, 1, at(0))
		require.True(t, suspected)
		require.Greater(t, left, jointTime-time.Millisecond)
		require.True(t, table.TrySuspected(1, 1, at(left)))
		table.RecordEnd(1, "upstream-9@1@address", at(left+time.Millisecond))
		require.True(t, isQuarantined(table, 1, at(left+time.Millisecond)))
		require.False(t, table.TrySuspected(1, 1, at(left+Duration/2)))
	}
}

// Guards against a request that ends idle upstreams at once, or one after the other, and is taken for a sound one.
func TestEndsThatNothingElseExplainsQuarantineAtOnce(t *testing.T) {
	alone := NewTable("a")
	endUpstreams(alone, 1, 3, at(0))
	require.True(t, isQuarantined(alone, 1, at(0)))
	apart := NewTable("a")
	apart.RecordAnswer(1, at(-time.Second))
	for i := range 3 {
		now := at(time.Duration(i) * jointTime)
		for q := range Key(2) {
			apart.RecordEnd(1+q, fmt.Sprintf("upstream-%d@1@address", i), now)
		}
	}
	require.True(t, isQuarantined(apart, 1, at(2*jointTime)))
}

// Guards against trials by all VMs at the same moment, each of which may end an upstream.
func TestVMsTakeTurnsWithTrials(t *testing.T) {
	const vms = 40
	var tables []*Table
	for i := range vms {
		tables = append(tables, suspect(fmt.Sprintf("vm-%d", i), true, at(0)))
	}
	trials := 0
	for now := time.Duration(0); now < jointTime+vms*trialInterval; now += 10 * time.Millisecond {
		before := trials
		for _, table := range tables {
			if table.TrySuspected(1, vms, at(now)) {
				trials++
			}
		}
		require.LessOrEqual(t, trials-before, 4)
	}
	require.Equal(t, vms, trials)
}

// Guards against a sound request that waits for minutes because the one VM that gets it has its turn late in a large fleet.
func TestRoundOfALargeFleetIsBounded(t *testing.T) {
	for i := range 40 {
		left, suspected := suspect(fmt.Sprintf("vm-%d", i), true, at(0)).Suspected(1, 985, at(0))
		require.True(t, suspected)
		require.LessOrEqual(t, left, jointTime+maxRound)
	}
}

// Guards against a request without an answer so far that is tried as soon as one that was answered.
func TestUnprovenRequestIsTriedLater(t *testing.T) {
	left, suspected := suspect("a", false, at(0)).Suspected(1, 1, at(0))
	require.True(t, suspected)
	require.GreaterOrEqual(t, left, unprovenWait)
}
