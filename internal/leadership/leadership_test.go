package leadership

import (
	"context"
	"encoding/json"
	"maps"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// fakeStore grants every lease unless it is unavailable.
type fakeStore struct {
	store.Store
	era         store.Era
	revision    int64
	items       map[string]store.Item
	unavailable bool
	revoked     int
	leases      int64
	// onGrant and onCommit, unless nil, are called when a lease is granted and when a change is made.
	onGrant, onCommit func()
	// loseCommitReplies makes commits take effect but return store.ErrUnknown.
	loseCommitReplies bool
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, time.Duration, error) {
	if f.unavailable {
		return store.LeaseID{}, 0, store.ErrUnknown
	}
	f.leases++
	if f.onGrant != nil {
		f.onGrant()
	}
	return store.LeaseID{Era: f.era, ID: f.leases}, leaseTTL, nil
}

func (f *fakeStore) Era() store.Era { return f.era }

// Renew finds a lease as long as a key is bound to it.
func (f *fakeStore) Renew(_ context.Context, id store.LeaseID) error {
	if f.unavailable {
		return store.ErrUnknown
	}
	if id.Era < f.era {
		return errors.WithStack(store.ErrRestored)
	}
	for _, item := range f.items {
		if item.Lease == id {
			return nil
		}
	}
	return errors.WithStack(store.ErrLeaseEnded)
}

func (f *fakeStore) Revoke(context.Context, store.LeaseID) error {
	f.revoked++
	return nil
}

func (f *fakeStore) Commit(_ context.Context, c store.Change) (store.Revision, error) {
	for _, condition := range c.Conditions {
		if f.items[condition.Key].Revision != condition.Revision {
			return 0, errors.WithStack(store.ErrConflict)
		}
	}
	f.revision++
	revision := store.NewRevision(f.era, f.revision)
	for _, p := range c.Puts {
		f.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: revision, Lease: p.Lease}
	}
	if f.onCommit != nil {
		f.onCommit()
	}
	if f.loseCommitReplies {
		return 0, errors.WithStack(store.ErrUnknown)
	}
	return revision, nil
}

// testCandidate is a candidate with clocks that the test advances.
type testCandidate struct {
	*Candidate
	store      *fakeStore
	mono, wall time.Duration
}

func newTestCandidate(vm string, s *fakeStore) *testCandidate {
	c := &testCandidate{store: s}
	c.Candidate = New(Options{
		Store: s, VM: vm, Prefix: "x/", TakeoverDelay: 3 * time.Second, Log: zerolog.Nop(),
		Clock: func() clock.Reading { return clock.Reading{Mono: c.mono, Wall: time.Unix(0, 0).Add(c.wall)} },
	})
	return c
}

func (c *testCandidate) advance(d time.Duration) { c.mono, c.wall = c.mono+d, c.wall+d }

func (c *testCandidate) observeAndStep() {
	c.Observe(c.store.items, c.store.era)
	c.step(context.Background())
}

func TestFirstLeaderActsAtOnce(t *testing.T) {
	c := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}})
	c.observeAndStep()
	token, ok := c.Authority()
	require.True(t, ok)
	require.Equal(t, int64(1), token)
	term, ok := c.Leader()
	require.False(t, ok, "Leader returned %v before the candidate observed it in the store", term)
}

// A leader is cut off from the store. Its lease may expire as soon as its time to live has
// passed since the last renewal was sent. The leader must have stopped by then, or two VMs
// would give orders.
func TestAuthorityEndsBeforeTheLease(t *testing.T) {
	c := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}})
	c.observeAndStep()
	c.store.unavailable = true
	c.advance(leaseTTL - authorityMargin - time.Millisecond)
	_, ok := c.Authority()
	require.True(t, ok)
	c.advance(time.Millisecond)
	_, ok = c.Authority()
	require.False(t, ok)
	c.step(context.Background())
	require.False(t, c.HoldsLease())
}

// The store is unavailable for longer than a lease, and leases do not expire meanwhile. Nobody
// else can have been elected while the lease existed. If the leader gave up at its first failed
// renewal, it or another VM would have to win an election, and another VM would also wait for
// the takeover delay: no model would move for another five seconds.
func TestTermContinuesWhenLeaseOutlivesOutage(t *testing.T) {
	c := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}})
	c.observeAndStep()
	before, _ := c.Authority()
	c.store.unavailable = true
	for range 5 {
		c.advance(time.Second)
		c.step(context.Background())
		_, ok := c.Authority()
		require.False(t, ok && c.mono >= leaseTTL)
	}
	c.store.unavailable = false
	c.step(context.Background())
	after, ok := c.Authority()
	require.True(t, ok)
	require.Equal(t, before, after)
}

// The lease expires during an outage of the store, and another VM has led since.
func TestTermEndsWhenLeaseExpiresInOutage(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newTestCandidate("a", s)
	a.observeAndStep()
	s.unavailable = true
	a.advance(5 * time.Second)
	a.step(context.Background())
	s.unavailable = false
	delete(s.items, "x/leader")
	newTestCandidate("b", s).observeAndStep()
	a.step(context.Background())
	require.False(t, a.HoldsLease())
	_, ok := a.Authority()
	require.False(t, ok)
}

// A leader's VM is suspended for seconds. Its monotonic clock stops meanwhile, so by that clock
// its lease is still valid when it resumes, while another VM already leads.
func TestSuspendedLeaderHasNoAuthority(t *testing.T) {
	c := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}})
	c.observeAndStep()
	c.wall += 5 * time.Second
	_, ok := c.Authority()
	require.False(t, ok)
}

// Another VM led before. Its last order may still be in flight, so the successor waits before
// it gives its first order.
func TestSuccessorWaits(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	newTestCandidate("a", s).observeAndStep()
	delete(s.items, "x/leader")
	b := newTestCandidate("b", s)
	b.observeAndStep()
	require.True(t, b.HoldsLease())
	for range 4 {
		_, ok := b.Authority()
		require.False(t, ok)
		b.advance(700 * time.Millisecond)
		b.step(context.Background())
	}
	b.advance(300 * time.Millisecond)
	_, ok := b.Authority()
	require.True(t, ok)
}

// Another VM led a moment ago. An election of this VM takes effect, but its reply is lost and
// its lease is revoked. The store then names this VM as the last leader. A candidate that
// relied on that name would give its first order right after the other VM's last one.
func TestLostElectionReplyDoesNotSkipTakeoverDelay(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	newTestCandidate("a", s).observeAndStep()
	delete(s.items, "x/leader")
	b := newTestCandidate("b", s)
	s.loseCommitReplies = true
	b.observeAndStep()
	require.False(t, b.HoldsLease())
	s.loseCommitReplies = false
	delete(s.items, "x/leader")
	b.observeAndStep()
	require.True(t, b.HoldsLease())
	_, ok := b.Authority()
	require.False(t, ok)
}

// A VM that led before campaigns again with a stale view of the store: another VM has led
// since. It must not win with that view, or it would skip the takeover delay.
func TestElectionFromStaleViewFails(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newTestCandidate("a", s)
	a.observeAndStep()
	delete(s.items, "x/leader")
	old := maps.Clone(s.items)
	a.advance(leaseTTL)
	a.step(context.Background())
	newTestCandidate("b", s).observeAndStep()
	delete(s.items, "x/leader")
	a.Observe(old, s.era)
	a.step(context.Background())
	require.False(t, a.HoldsLease())
	a.observeAndStep()
	require.True(t, a.HoldsLease())
	_, ok := a.Authority()
	require.False(t, ok)
}

// The VM that led last wins again, and nobody else has led since. It need not wait for its own
// orders.
func TestSameLeaderActsAtOnceAgain(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newTestCandidate("a", s)
	a.observeAndStep()
	delete(s.items, "x/leader")
	a.advance(leaseTTL)
	s.unavailable = true
	a.step(context.Background())
	s.unavailable = false
	a.step(context.Background())
	require.False(t, a.HoldsLease(), "its lease has expired")
	a.observeAndStep()
	_, ok := a.Authority()
	require.True(t, ok)
}

func TestOneOfTwoCandidatesWins(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a, b := newTestCandidate("a", s), newTestCandidate("b", s)
	b.Observe(s.items, s.era)
	a.observeAndStep()
	b.step(context.Background())
	require.True(t, a.HoldsLease())
	require.False(t, b.HoldsLease())
	require.Equal(t, 1, s.revoked)
	b.Observe(s.items, s.era)
	term, ok := b.Leader()
	require.True(t, ok)
	require.Equal(t, "a", term.VM)
	var r electionRecord
	require.NoError(t, json.Unmarshal(s.items["x/last-leader"].Value, &r))
	require.Equal(t, "a", r.VM)
}

// In a fleet of hundreds, VMs wait for the signal of their election instead of polling. A VM
// that got no signal would hold the lease and give no orders for as long as it lasts.
func TestElectionIsSignalled(t *testing.T) {
	c := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}})
	require.False(t, c.HasTerm())
	require.Empty(t, c.Elected())
	c.observeAndStep()
	require.True(t, c.HasTerm())
	require.Len(t, c.Elected(), 1)
	c.store.unavailable = true
	c.advance(leaseTTL)
	c.step(context.Background())
	require.True(t, c.HasTerm(), "the term is kept, since authority may return")
}

// A leader that cannot reach what it leads must leave the lead to others, and not take it back at once.
func TestUnfitLeaderResigns(t *testing.T) {
	c, unfit := newTestCandidate("a", &fakeStore{items: map[string]store.Item{}}), false
	c.options.Unfit = func() bool { return unfit }
	c.observeAndStep()
	require.True(t, c.HasTerm())
	unfit = true
	c.observeAndStep()
	require.False(t, c.HasTerm())
	require.Equal(t, 1, c.store.revoked)
	delete(c.store.items, "x/leader")
	c.observeAndStep()
	require.False(t, c.HasTerm())
	unfit = false
	c.observeAndStep()
	require.True(t, c.HasTerm())
}
