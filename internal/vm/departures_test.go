package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance says that it leaves, and a heartbeat from before that arrives late at the
// store. Its entry says ready again; requests sent there would be cut when it exits.
func TestLateHeartbeatDoesNotReviveADrainingInstance(t *testing.T) {
	d, now := newDepartures(), time.Now()
	d.left("i@1", true, now)
	for revision := range int64(5) {
		require.True(t, d.barred("i@1", 10+revision, true))
	}
	require.False(t, d.barred("i@2", 10, false), "another incarnation")
}

// An instance is cut off from the store for a while and its entry goes. When it is back
// it writes on, and it has to count again: it would be lost for good otherwise. A single
// entry may be a heartbeat that was held up.
func TestInstanceThatWritesOnCountsAgain(t *testing.T) {
	d, now := newDepartures(), time.Now()
	d.left("i@1", false, now)
	require.True(t, d.barred("i@1", 10, false))
	require.True(t, d.barred("i@1", 10, false))
	require.False(t, d.barred("i@1", 11, false))
}

// The store was away and leases ran out meanwhile. What comes back lives.
func TestEntriesThatLapsedInAnOutageComeBackAtOnce(t *testing.T) {
	d, now := newDepartures(), time.Now()
	d.left("i@1", false, now)
	require.False(t, d.barred("i@1", 10, true))
}
