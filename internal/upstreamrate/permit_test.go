package upstreamrate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests that other upstreams can take must not use up what those need that no other upstream can take.
func TestOnePermitIsReserved(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(1), now, now)
	require.Equal(t, Decision{RetryAfter: time.Second}, table.Issue(engine, true, now))
	now = now.Add(1500 * time.Millisecond)
	require.Equal(t, Decision{RetryAfter: 500 * time.Millisecond}, table.Issue(engine, false, now))
	require.True(t, table.Issue(engine, true, now).Granted)
	require.False(t, table.Issue(engine, true, now).Granted)
	now = now.Add(1500 * time.Millisecond)
	require.True(t, table.Issue(engine, false, now).Granted)
}

// An upstream names a limit of zero. Without any request no VM would learn that the limit has ended.
func TestUpstreamWithALimitOfZeroIsTriedNowAndThen(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(0), now, now)
	granted := 0
	for range 60 {
		now = now.Add(time.Second)
		if table.Issue(engine, false, now).Granted {
			granted++
		}
	}
	require.LessOrEqual(t, float64(granted), 60*minRate)
	require.GreaterOrEqual(t, float64(granted), 60*minRate/2)
}

func TestNoPermitIsNeededWithoutALimit(t *testing.T) {
	table, now := NewTable(), time.Now()
	require.True(t, table.Issue(engine, false, now).Granted)
	table.Merge(engine, Limit{Ended: true, Revision: 3}, now)
	require.True(t, table.Issue(engine, false, now).Granted)
}

// A change of a limit may make permits available before a denial says so.
func TestChangeOfALimitEndsDenials(t *testing.T) {
	table, now := NewTable(), time.Now()
	table.Observe(engine, named(1), now, now)
	table.RecordDenial(engine, true, now.Add(time.Minute))
	table.Observe(engine, named(5), now, now)
	needed, other := table.NextPermits(engine)
	require.Zero(t, needed)
	require.Zero(t, other)
}

// A VM leaves. The permits of upstreams that it did not issue must not change hands.
func TestIssuersOfOtherUpstreamsStayWhenAVMLeaves(t *testing.T) {
	vms := []string{"a", "b", "c", "d"}
	issued := make(map[string]int)
	for i := range 100 {
		upstream := fmt.Sprint("upstream-", i)
		before := Issuer(upstream, vms)
		issued[before]++
		if before != "d" {
			require.Equal(t, before, Issuer(upstream, vms[:3]))
		}
	}
	require.Len(t, issued, len(vms))
	require.Empty(t, Issuer("upstream", nil))
}

func TestSnapshotHoldsWhatHasChanged(t *testing.T) {
	table, now := NewTable(), time.Now()
	other := Key{Instance: "engine-2"}
	table.Observe(engine, named(1), now, now)
	before := table.Snapshot(all)
	table.Observe(other, named(2), now, now)
	after := table.Snapshot(all)
	require.NotEqual(t, before.Digest, after.Digest)
	require.Len(t, after.Since(before.Version), 1)
	require.Equal(t, other, after.Since(before.Version)[0].Key)
	require.Len(t, after.Since(after.Version), 2, "the receiver has something else than it had before")
	require.Equal(t, map[string]float64{"engine-1": 1, "engine-2": 2}, after.InForce())
}
