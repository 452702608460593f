package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func endUpstreams(t *Table, q Key, n int, now time.Time) {
	for i := range n {
		t.RecordEnd(q, fmt.Sprintf("upstream-%d@1@address", i), now)
	}
}

func isQuarantined(t *Table, q Key, now time.Time) bool {
	_, quarantined := t.Quarantined(q, now)
	return quarantined
}

func TestRequestIsQuarantinedFromTheThirdEndOn(t *testing.T) {
	table := NewTable("vm")
	require.False(t, table.InUse())
	endUpstreams(table, 1, 2, at(0))
	endUpstreams(table, 1, 2, at(time.Second))
	require.False(t, isQuarantined(table, 1, at(time.Second)), "an incarnation ends once")
	endUpstreams(table, 1, 3, at(time.Second))
	require.True(t, isQuarantined(table, 1, at(time.Second)))
	require.True(t, isQuarantined(table, 1, at(Duration)))
	require.False(t, isQuarantined(table, 1, at(2*time.Second+Duration)))
}

// A popular request is in flight at each of three upstreams that crash one after the other, and is answered in between.
func TestRequestThatIsAnsweredInBetweenIsNotQuarantined(t *testing.T) {
	table := NewTable("vm")
	for i := range 6 {
		now := at(time.Duration(i) * time.Second)
		table.RecordEnd(1, fmt.Sprintf("upstream-%d@1@address", i), now)
		table.RecordAnswer(1, now.Add(300*time.Millisecond))
		require.False(t, isQuarantined(table, 1, now.Add(500*time.Millisecond)))
	}
}

// A VM that has lost its way to upstreams whose connections are reset takes them for ended; others hear from them.
func TestUpstreamThatAnswersLaterHasNotEnded(t *testing.T) {
	cutOff, other := NewTable("vm"), NewTable("vm")
	endUpstreams(cutOff, 1, 3, at(0))
	other.Merge(cutOff.Get([]Key{1})[0], at(0))
	require.True(t, isQuarantined(other, 1, at(0)))
	for i := range 3 {
		other.RecordAlive(fmt.Sprintf("upstream-%d@1@address", i), at(time.Second))
	}
	require.False(t, isQuarantined(other, 1, at(time.Second)))
}

// VMs learn of ends in any order and more than once, and of an answer that only one of them has seen.
func TestVMsThatTellEachOtherAgree(t *testing.T) {
	a, b := NewTable("vm"), NewTable("vm")
	a.RecordEnd(1, "upstream-1@1@address", at(0))
	b.RecordEnd(1, "upstream-2@1@address", at(0))
	b.RecordEnd(1, "upstream-3@1@address", at(0))
	news, tell := a.Merge(b.Get([]Key{1})[0], at(0))
	require.Equal(t, []Key{1}, news)
	require.True(t, tell, "b does not know of the end of upstream-1")
	require.True(t, isQuarantined(a, 1, at(0)))
	news, _ = a.Merge(b.Get([]Key{1})[0], at(0))
	require.Empty(t, news)
	b.Merge(a.Get([]Key{1})[0], at(0))
	require.True(t, isQuarantined(b, 1, at(0)))
	_, tell = a.Merge(b.Get([]Key{1})[0], at(0))
	require.False(t, tell)
	require.Equal(t, 3, a.RecordAnswer(1, at(time.Second)))
	_, tell = a.Merge(b.Get([]Key{1})[0], at(time.Second))
	require.True(t, tell, "b does not know of the answer")
	b.Merge(a.Get([]Key{1})[0], at(time.Second))
	require.False(t, isQuarantined(b, 1, at(time.Second)))
}

// An upstream that ends without closing its listener shows it only when its entry is gone.
func TestBrokenExchangeCountsOnceItsUpstreamIsGone(t *testing.T) {
	table := NewTable("vm")
	for i := range 3 {
		incarnation := fmt.Sprintf("upstream-%d@1@address", i)
		table.RecordBreak(1, incarnation, at(0))
		require.False(t, isQuarantined(table, 1, at(0)))
		require.Equal(t, []Key{1}, table.RecordGone(incarnation, at(3*time.Second)))
	}
	require.True(t, isQuarantined(table, 1, at(3*time.Second)))
	table.RecordBreak(2, "upstream-9@1@address", at(4*time.Second))
	table.RecordAlive("upstream-9@1@address", at(5*time.Second))
	require.Empty(t, table.RecordGone("upstream-9@1@address", at(6*time.Second)))
}

// A VM that lacks processor time cannot see that an upstream has ended, while other requests have shown it to other VMs.
func TestBrokenExchangeCountsOnceAnotherRequestShowsThatItsUpstreamHasEnded(t *testing.T) {
	const ended, other = "upstream-1@1@address", "upstream-2@1@address"
	for name, learn := range map[string]func(*Table) []Key{
		"own request": func(t *Table) []Key { return t.RecordEnd(2, ended, at(time.Second)) },
		"another VM's": func(t *Table) []Key {
			news, _ := t.Merge(Record{Key: 2, Ends: map[string]time.Time{ended: at(time.Second)}}, at(time.Second))
			return news
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable("vm")
			require.Empty(t, table.RecordBreak(1, ended, at(0)))
			require.Empty(t, table.RecordBreak(1, other, at(0)))
			require.ElementsMatch(t, []Key{1, 2}, learn(table))
			require.Equal(t, 1, table.Ends(1))
			require.NotEmpty(t, table.RecordBreak(3, ended, at(2*time.Second)), "what is known when the exchange breaks")
			require.Equal(t, 1, table.Ends(3))
		})
	}
}

// Hundreds of upstreams end at once, each with many requests: the table stays bounded, and keeps what has most ends.
func TestTableIsBounded(t *testing.T) {
	table := NewTable("vm")
	endUpstreams(table, 1, 3, at(0))
	for i := range 3 * maxRequests {
		table.RecordEnd(Key(100+i), "upstream-0@1@address", at(time.Second))
	}
	require.LessOrEqual(t, len(table.records), maxRequests)
	require.True(t, isQuarantined(table, 1, at(time.Second)))
	table.Suspects(at(2*time.Second + suspicionTime))
	require.Len(t, table.records, 1)
	table.Suspects(at(2*time.Second + Duration))
	require.False(t, table.InUse())
}

// A VM without processor time reads the answers of an upstream long after it has ended: its end must count all the same.
func TestAnswerThatIsReadLateDoesNotShowThatItsUpstreamLives(t *testing.T) {
	table := NewTable("vm")
	endUpstreams(table, 1, 3, at(0))
	table.RecordAlive("upstream-0@1@address", at(-20*time.Millisecond))
	require.True(t, isQuarantined(table, 1, at(2*time.Second)))
	table.RecordAlive("upstream-0@1@address", at(time.Second))
	table.RecordAlive("upstream-0@1@address", at(-10*time.Millisecond))
	require.False(t, isQuarantined(table, 1, at(2*time.Second)), "it has answered a request that was written later")
}

// An upstream that is back under its ID and address answers before this VM has read its new entry: that is no sign of the incarnation that ended.
func TestEndStandsOnceItsIncarnationIsGone(t *testing.T) {
	table := NewTable("vm")
	endUpstreams(table, 1, 3, at(0))
	for i := range 3 {
		incarnation := fmt.Sprintf("upstream-%d@1@address", i)
		table.RecordAlive(incarnation, at(time.Second))
		table.RecordGone(incarnation, at(2*time.Second))
	}
	require.Equal(t, 3, table.Ends(1))
	require.True(t, isQuarantined(table, 1, at(2*time.Second)))
	table.RecordAlive("upstream-0@1@address", at(3*time.Second))
	require.True(t, isQuarantined(table, 1, at(Duration-time.Second)))
}

// An upstream that has answered long after it was taken for ended has not ended then, whatever happens to it later.
func TestDisprovedEndDoesNotCountOnceTheUpstreamEndsLater(t *testing.T) {
	table := NewTable("vm")
	endUpstreams(table, 1, 3, at(0))
	for i := range 3 {
		incarnation := fmt.Sprintf("upstream-%d@1@address", i)
		table.RecordAlive(incarnation, at(time.Second))
		table.RecordGone(incarnation, at(breakTime))
	}
	require.Zero(t, table.Ends(1))
}

// A dark upstream loses its entry before a stream that it was writing is given up.
func TestBreakCountsIfItsUpstreamIsKnownToBeGone(t *testing.T) {
	const dark, other = "upstream-1@1@address", "upstream-2@1@address"
	table := NewTable("vm")
	table.RecordGone(dark, at(0))
	table.RecordGone(other, at(0))
	require.NotEmpty(t, table.RecordBreak(1, dark, at(time.Second)))
	require.Equal(t, 1, table.Ends(1))
	require.Empty(t, table.RecordBreak(2, other, at(breakTime+time.Second)))
}

// Guards against refusing a request for ten minutes that was running on three upstreams which crashed at once.
func TestInnocentRequestIsNotQuarantinedWhenUpstreamsCrashAtOnce(t *testing.T) {
	table, now := NewTable("vm"), time.Now()
	const innocent = Key(1)
	for n, incarnation := range []string{"a@1", "b@1", "c@1"} {
		at := now.Add(time.Duration(n) * time.Millisecond)
		table.RecordEnd(innocent, incarnation, at)
		for other := range 20 {
			table.RecordEnd(Key(100+20*n+other), incarnation, at)
		}
	}
	_, quarantined := table.Quarantined(innocent, now.Add(time.Second))
	require.False(t, quarantined)
}
