package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	badKey Key = 1000 + iota
	firstKey
	rareKey
	otherKey
)

var (
	first = Part{firstKey, 1}
	bad   = Part{badKey, 2}
	rare  = Part{rareKey, 3}
	other = Part{otherKey, 3}
)

// endUnder records the i-th end, at which requests with some parts had not begun.
func endUnder(t *Table, i int, now time.Time, parts ...Part) {
	t.RecordEnd(Key(i), fmt.Sprintf("engine-%d@1@address", i), now, parts...)
}

func quarantinedParts(t *Table, now time.Time) []Key {
	var out []Key
	for _, p := range []Part{first, bad, rare, other} {
		if _, _, in := t.QuarantinedPart([]Part{p}, now); in {
			out = append(out, p.Key)
		}
	}
	return out
}

// A part that all requests share is in each of those that end upstreams, too.
func TestOnlyThePartUnderWhichNoAnswerBeginsIsQuarantined(t *testing.T) {
	table := NewTable("vm")
	now := at(0)
	for i := range MaxPartEnds {
		require.Empty(t, quarantinedParts(table, now))
		now = at(time.Duration(i) * time.Second)
		endUnder(table, i, now, first, bad)
		table.RecordBegun([]Part{first}, now.Add(100*time.Millisecond))
	}
	now = now.Add(200 * time.Millisecond)
	require.Equal(t, []Key{bad.Key}, quarantinedParts(table, now))
	require.Empty(t, quarantinedParts(table, now.Add(Duration)))
	endUnder(table, 99, now.Add(Duration+time.Second), bad)
	require.Equal(t, []Key{bad.Key}, quarantinedParts(table, now.Add(Duration+2*time.Second)), "a further end after the time")
}

// A request that shares no part with the others waits at each upstream that ends under them.
func TestPartThatStandsBesideOneThatEndsUpstreamsIsNotQuarantined(t *testing.T) {
	table := NewTable("vm")
	for i := range MaxPartEnds + 1 {
		now := at(time.Duration(i) * time.Second)
		if i > 0 {
			table.RecordEnd(Key(50), fmt.Sprintf("engine-%d@1@address", i), now, rare)
		}
		endUnder(table, i, now, bad)
	}
	require.Equal(t, []Key{bad.Key}, quarantinedParts(table, at(time.Minute)))
}

// Two parts have always been in the same requests; a request with one of them alone shows which is to blame.
func TestPartThatTurnsOutToBeSoundIsReleased(t *testing.T) {
	table := NewTable("vm")
	for i := range MaxPartEnds {
		endUnder(table, i, at(time.Duration(i)*time.Second), bad, rare)
	}
	require.Equal(t, []Key{rare.Key}, quarantinedParts(table, at(10*time.Second)), "that which fewer requests share")
	endUnder(table, 10, at(11*time.Second), bad)
	require.Equal(t, []Key{bad.Key}, quarantinedParts(table, at(12*time.Second)))
}

// Two parts that end upstreams at the same time, also upstreams that the other has just been sent to.
func TestTwoPartsThatEndUpstreamsAreBothQuarantined(t *testing.T) {
	table := NewTable("vm")
	for i := range 2 * MaxPartEnds {
		endUnder(table, i, at(time.Duration(i)*time.Second), []Part{bad, other}[i%2])
	}
	require.Equal(t, []Key{bad.Key, other.Key}, quarantinedParts(table, at(time.Minute)))
}

// Sound parts stand in turn in the requests that end upstreams, each as often in distinct ends as the part to blame.
func TestPartsThatShareTheEndsOfAnotherAreNotQuarantined(t *testing.T) {
	table := NewTable("vm")
	for i := range 8 * MaxPartEnds {
		endUnder(table, i, at(time.Duration(i)*60*time.Millisecond), Part{badKey, 1}, []Part{rare, other}[i%2])
	}
	require.Equal(t, []Key{badKey}, quarantinedParts(table, at(time.Minute)))
}

// The requests that end upstreams share a sound part, which also stands in requests that wait at other upstreams.
func TestPartWithWhichAnswersBeganLatelyIsNotTheFirstToBlame(t *testing.T) {
	table := NewTable("vm")
	table.RecordBegun([]Part{first}, at(-time.Second))
	for i := range 2 * MaxPartEnds {
		endUnder(table, i, at(time.Duration(i)*time.Second), []Part{bad, other}[i%2], first)
	}
	require.Equal(t, []Key{bad.Key, other.Key}, quarantinedParts(table, at(time.Minute)))
	for i := range maxSoundPartEnds {
		require.NotContains(t, quarantinedParts(table, at(time.Duration(60+i)*time.Second)), first.Key)
		endUnder(table, 20+i, at(time.Duration(60+i)*time.Second), first)
	}
	require.Contains(t, quarantinedParts(table, at(2*time.Minute)), first.Key, "it has come to end upstreams")
}

// A rack of engines fails with the requests that wait there, all of which share their first part.
func TestUpstreamsThatEndAtTheSameMomentQuarantineNoPart(t *testing.T) {
	table := NewTable("vm")
	for i := range 10 {
		endUnder(table, i, at(time.Duration(i)*10*time.Millisecond), first)
	}
	require.Empty(t, quarantinedParts(table, at(time.Second)))
}

// VMs see different requests at the same upstream, and answers begin at another one.
func TestVMsAgreeOnThePartThatEndsUpstreams(t *testing.T) {
	a, b := NewTable("vm"), NewTable("vm")
	for i := range MaxPartEnds + 1 {
		now := at(time.Duration(i) * time.Second)
		endUnder(a, i, now, first, bad)
		if i > 0 {
			endUnder(b, i, now, first, rare)
		}
		require.Equal(t, []Key{first.Key}, a.RecordBegun([]Part{first}, now.Add(300*time.Millisecond)))
		for _, q := range []Key{first.Key, bad.Key} {
			b.Merge(a.Get([]Key{q})[0], now.Add(300*time.Millisecond))
		}
	}
	require.Equal(t, []Key{bad.Key}, quarantinedParts(b, at(time.Minute)))
	require.Equal(t, []Key{bad.Key}, quarantinedParts(a, at(time.Minute)))
}

// A part whose ends had another reason would be held for the whole time, since nobody sends it any more.
func TestQuarantinedPartIsTriedLessAndLessOften(t *testing.T) {
	table := NewTable("vm")
	for i := range MaxPartEnds {
		endUnder(table, i, at(time.Duration(i)*time.Second), bad)
	}
	last := at((MaxPartEnds - 1) * time.Second)
	require.False(t, table.Try(bad, last.Add(firstTrial-time.Second)))
	require.True(t, table.Try(bad, last.Add(firstTrial)))
	require.False(t, table.Try(bad, last.Add(firstTrial+time.Second)))
	endUnder(table, 50, last.Add(firstTrial+time.Second), bad)
	require.False(t, table.Try(bad, last.Add(2*firstTrial+2*time.Second)))
	require.True(t, table.Try(bad, last.Add(firstTrial+time.Second+trialFactor*firstTrial)))
	table.RecordBegun([]Part{bad}, last.Add(2*trialFactor*firstTrial))
	require.Empty(t, quarantinedParts(table, last.Add(2*trialFactor*firstTrial)))
}

// The end of an upstream was known by a sound request: the parts of the one to blame were recorded, and no other VM was told.
func TestBreakAtAnUpstreamThatIsKnownToHaveEndedNamesItsParts(t *testing.T) {
	table := NewTable("vm")
	endUnder(table, 1, at(0), first)
	news := table.RecordBreak(2, "engine-1@1@address", at(time.Millisecond), first, bad)
	require.ElementsMatch(t, []Key{2, bad.Key}, news)
}
