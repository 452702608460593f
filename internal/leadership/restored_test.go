package leadership

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/store"
)

// fakeCopy is the state of a fakeStore at an earlier moment.
type fakeCopy struct {
	revision, leases int64
	items            map[string]store.Item
}

func (f *fakeStore) copy() fakeCopy { return fakeCopy{f.revision, f.leases, maps.Clone(f.items)} }

// restore brings the store back from a copy, as the items of a new era.
func (f *fakeStore) restore(c fakeCopy) {
	f.era++
	f.revision, f.leases, f.items = c.revision, c.leases, make(map[string]store.Item)
	for key, i := range c.items {
		i.Revision, i.Lease.Era = store.NewRevision(f.era, i.Revision.Count()), f.era
		f.items[key] = i
	}
}

func newStoreWithEras() *fakeStore { return &fakeStore{era: 1, items: map[string]store.Item{}} }

// Guards against orders under a lease that a copy lacks, and against tokens that fall after it.
func TestTermEndsWithTheErasEnd(t *testing.T) {
	s := newStoreWithEras()
	empty := s.copy()
	s.revision = 40
	a, b := newTestCandidate("a", s), newTestCandidate("b", s)
	b.observeAndStep()
	b.advance(leaseTTL)
	a.Observe(map[string]store.Item{}, s.era)
	delete(s.items, "x/leader")
	a.observeAndStep()
	a.advance(3 * time.Second)
	a.step(context.Background())
	before, ok := a.Authority()
	require.True(t, ok)
	s.restore(empty)
	_, ok = a.Authority()
	require.False(t, ok, "the new era is known from another answer")
	require.False(t, a.HoldsLease())
	a.Observe(map[string]store.Item{}, 1)
	a.step(context.Background())
	require.False(t, a.HoldsLease(), "the view is of the era before")
	b.observeAndStep()
	require.True(t, b.HoldsLease())
	b.advance(3 * time.Second)
	b.step(context.Background())
	_, ok = b.Authority()
	require.False(t, ok, "the earlier leader may have acted until a lease after the era began")
	b.advance(leaseTTL)
	b.step(context.Background())
	after, ok := b.Authority()
	require.True(t, ok)
	require.Greater(t, after, before)
}

// Guards against a pause in leading where the leader itself is elected again before its authority would have ended.
func TestLeaderOfTheEarlierEraActsAtOnceWithALargerToken(t *testing.T) {
	for _, copied := range []bool{false, true} {
		s := newStoreWithEras()
		from := s.copy()
		a := newTestCandidate("a", s)
		a.observeAndStep()
		if copied {
			from = s.copy()
		}
		before, _ := a.Authority()
		s.restore(from)
		a.advance(400 * time.Millisecond)
		a.observeAndStep()
		a.observeAndStep()
		after, ok := a.Authority()
		require.True(t, ok, "copied: %v", copied)
		require.Greater(t, after, before)
	}
}

// Guards against a leader that acts at once although another VM may have led while it was cut off from the store.
func TestLeaderThatWasCutOffWaitsInTheNewEra(t *testing.T) {
	s := newStoreWithEras()
	a := newTestCandidate("a", s)
	a.observeAndStep()
	from := s.copy()
	s.unavailable = true
	a.advance(leaseTTL)
	a.step(context.Background())
	s.unavailable = false
	delete(s.items, "x/leader")
	newTestCandidate("b", s).observeAndStep()
	s.restore(from)
	a.observeAndStep()
	a.observeAndStep()
	require.True(t, a.HoldsLease())
	_, ok := a.Authority()
	require.False(t, ok)
}

// Guards against a VM that starts after the store came back from an old copy, sees no leader there and acts at once.
func TestVMThatStartsInARunningSystemWaits(t *testing.T) {
	s := newStoreWithEras()
	c := newTestCandidate("a", s)
	c.options.Restart, c.restored = true, true
	c.observeAndStep()
	require.True(t, c.HoldsLease())
	_, ok := c.Authority()
	require.False(t, ok)
}

// Guards against an election in place of a leader that was elected and observed between the look at the store and the vote.
func TestElectionRestsOnWhatWasSeenBeforeIt(t *testing.T) {
	s := newStoreWithEras()
	a, b := newTestCandidate("a", s), newTestCandidate("b", s)
	s.onGrant = func() {
		s.onGrant = nil
		b.observeAndStep()
		a.Observe(s.items, s.era)
	}
	a.observeAndStep()
	require.True(t, b.HoldsLease())
	require.False(t, a.HoldsLease())
}

// Guards against a term that begins after its era has ended, and with which the VM would never stand for election again.
func TestElectionWhoseAnswerComesInTheNextEraIsForgotten(t *testing.T) {
	s := newStoreWithEras()
	empty := s.copy()
	c := newTestCandidate("a", s)
	s.onCommit = func() {
		s.onCommit = nil
		s.restore(empty)
	}
	c.observeAndStep()
	require.False(t, c.HasTerm())
	c.observeAndStep()
	require.True(t, c.HoldsLease())
}
