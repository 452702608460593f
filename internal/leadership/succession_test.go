package leadership

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/store"
)

// A leader is cut off from the store, and another VM is elected. The two still hear each
// other: the first one gives up for good, and its word about its last orders spares the
// second one the wait in which no model would move.
func TestLeaderThatIsCutOffTellsItsSuccessor(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a, b := newWorld("a", s), newWorld("b", s)
	a.elect()
	term, _ := a.Authority()
	a.pass(7 * time.Second)
	s.away = true
	a.step(context.Background())
	_, over := a.Ended()
	require.False(t, over, "its lease may still be there")
	s.away = false
	delete(s.items, "x/leader")
	b.elect()
	successor := s.items["x/leader"].Revision
	a.Superseded(successor)
	ended, over := a.Ended()
	require.True(t, over)
	require.Equal(t, term, ended.Token)
	require.False(t, a.Leads())
	_, ok := b.Authority()
	require.False(t, ok)
	require.False(t, b.Settled(term-1), "the word of an earlier leader says nothing")
	require.True(t, b.Settled(term))
	_, ok = b.Authority()
	require.True(t, ok)
}

// A leader's term ends while it still waits for its predecessor's last orders. What it could
// tell of its own orders says nothing of those.
func TestShortTermTellsNothing(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a, b := newWorld("a", s), newWorld("b", s)
	a.elect()
	delete(s.items, "x/leader")
	b.elect()
	b.pass(2 * time.Second)
	delete(s.items, "x/leader")
	b.step(context.Background())
	require.False(t, b.Leads())
	_, over := b.Ended()
	require.False(t, over)
}

// A VM hears late of an election before its own. It must not give its own term up for that.
func TestOlderElectionEndsNoTerm(t *testing.T) {
	w := newWorld("a", &fakeStore{revision: 5, items: map[string]store.Item{}})
	w.elect()
	w.Superseded(3)
	require.True(t, w.Leads())
}
