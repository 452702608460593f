package connlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a crowd that begins no requests, or does not end them, and keeps callers out.
func TestConnectionsWithoutARequestAreClosedFirst(t *testing.T) {
	g := NewTable(0).Group(4)
	now := time.Unix(0, 0)
	var closed []string
	open := func(name string) *Conn {
		now = now.Add(time.Millisecond)
		return g.Open(func() { closed = append(closed, name) }, now)
	}
	idle := open("idle")
	require.True(t, idle.EndHead(now) && idle.EndRequest(now))
	serving := open("serving")
	require.True(t, serving.EndHead(now))
	uploading := open("uploading")
	require.True(t, uploading.EndHead(now) && uploading.ReadBody(now))
	open("silent")
	now = now.Add(2 * time.Second)
	require.True(t, open("first").EndHead(now))
	require.True(t, open("second").EndHead(now))
	require.True(t, open("third").EndHead(now))
	require.Nil(t, open("fourth"), "all have complete requests")
	require.Equal(t, []string{"silent", "uploading", "idle"}, closed)
	require.False(t, uploading.EndBody(now), "the request of a closed connection must not run")
	require.Equal(t, Counts{Open: 4, Closed: 3, Refused: 1}, g.Counts())
}

// Guards against a body that still arrives and is cut for a new connection.
func TestBodyThatArrivesIsNotCut(t *testing.T) {
	g := NewTable(0).Group(1)
	now := time.Unix(0, 0)
	c := g.Open(func() { t.Error("closed") }, now)
	require.True(t, c.EndHead(now))
	for range 10 {
		now = now.Add(stalledAfter)
		require.Nil(t, g.Open(nil, now))
		require.True(t, c.ReadBody(now))
	}
}

func TestOpenConnectionsAreBoundedAndCompleteRequestsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewTable(0).Group(rapid.IntRange(1, 5).Draw(t, "limit"))
		now := time.Unix(0, 0)
		var all []*Conn
		serving := make(map[*Conn]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.Bool().Draw(t, "new") {
				var c *Conn
				c = g.Open(func() { require.False(t, serving[c], "a complete request was cut") }, now)
				if c != nil {
					all = append(all, c)
				}
			} else {
				c := all[rapid.IntRange(0, len(all)-1).Draw(t, "connection")]
				step := rapid.SampledFrom([]func(*Conn, time.Time) bool{(*Conn).BeginHead, (*Conn).EndHead, (*Conn).ReadBody, (*Conn).EndRequest}).Draw(t, "step")
				open := step(c, now)
				serving[c] = open && c.phase == phaseServing
			}
			require.LessOrEqual(t, g.Counts().Open, g.Limit())
		}
	})
}

// Guards against heads without an end that keep ordinary requests out.
func TestWhoseHeadTakesMostForLongestIsClosedFirst(t *testing.T) {
	table := NewTable(1 << 20)
	g := table.Group(100)
	start := time.Unix(0, 0)
	var closed []string
	open := func(name string, bytes int64, since time.Duration) *Conn {
		c := g.Open(func() { closed = append(closed, name) }, start.Add(since))
		require.NoError(t, c.TakeHead(bytes, start.Add(since)))
		return c
	}
	open("old and small", 10<<10, 0)
	open("large", 400<<10, time.Second)
	served := open("served", 300<<10, 0)
	require.True(t, served.EndHead(start))
	now := start.Add(3 * time.Second)
	large := g.Open(nil, now)
	require.NoError(t, large.TakeHead(200<<10, now))
	require.Equal(t, []string{"large"}, closed)
	require.ErrorIs(t, large.TakeHead(400<<10, now), ErrNoMemory, "large heads leave room for ordinary ones")
	require.Equal(t, []string{"large"}, closed, "nobody is closed in vain")
	for range 8 {
		ordinary := g.Open(nil, now)
		require.NoError(t, ordinary.TakeHead(30<<10, now))
		require.True(t, ordinary.EndHead(now))
	}
	require.True(t, served.EndRequest(now))
	require.NoError(t, large.TakeHead(200<<10, now))
	large.Close()
	require.Equal(t, HeadCounts{Held: (10 + 8*30) << 10, Closed: 1, Refused: 1}, table.HeadCounts())
}

// Guards against memory that is not given back, and against more than the bound.
func TestMemoryOfHeadsIsBoundedAndReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(int64(rapid.IntRange(1000, 200_000).Draw(t, "memory")))
		g := table.Group(5)
		now := time.Unix(0, 0)
		var all []*Conn
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if c := g.Open(func() {}, now); c != nil {
				all = append(all, c)
			}
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "connection")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				_ = c.TakeHead(int64(rapid.IntRange(1, 60_000).Draw(t, "bytes")), now)
			case 2:
				c.EndHead(now)
			case 3:
				c.EndRequest(now)
			case 4:
				c.Close()
			}
			require.LessOrEqual(t, table.HeadCounts().Held, table.Memory())
		}
		for _, c := range all {
			c.Close()
		}
		require.Zero(t, table.HeadCounts().Held)
		require.Empty(t, table.reading)
	})
}
