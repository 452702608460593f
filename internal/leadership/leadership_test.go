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

// fakeStore grants everything unless it is away.
type fakeStore struct {
	store.Store
	revision int64
	items    map[string]store.Item
	away     bool
	revoked  int
	leases   store.LeaseID
	// loseCommits makes commits take effect without an answer.
	loseCommits bool
}

func (f *fakeStore) Grant(context.Context, time.Duration) (store.LeaseID, time.Duration, error) {
	if f.away {
		return 0, 0, store.ErrUnknown
	}
	f.leases++
	return f.leases, lease, nil
}

// Renew finds a lease as long as a key is bound to it.
func (f *fakeStore) Renew(_ context.Context, id store.LeaseID) error {
	if f.away {
		return store.ErrUnknown
	}
	for _, item := range f.items {
		if item.Lease == id {
			return nil
		}
	}
	return errors.WithStack(store.ErrLeaseGone)
}

func (f *fakeStore) Revoke(context.Context, store.LeaseID) error {
	f.revoked++
	return nil
}

func (f *fakeStore) Commit(_ context.Context, c store.Change) (int64, error) {
	for _, condition := range c.Conditions {
		if f.items[condition.Key].Revision != condition.Revision {
			return 0, errors.WithStack(store.ErrConflict)
		}
	}
	f.revision++
	for _, p := range c.Puts {
		f.items[p.Key] = store.Item{Key: p.Key, Value: p.Value, Revision: f.revision, Lease: p.Lease}
	}
	if f.loseCommits {
		return 0, errors.WithStack(store.ErrUnknown)
	}
	return f.revision, nil
}

// world is a candidate with clocks that the test turns.
type world struct {
	*Candidate
	store      *fakeStore
	mono, wall time.Duration
}

func newWorld(vm string, s *fakeStore) *world {
	w := &world{store: s}
	w.Candidate = New(Options{
		Store: s, VM: vm, Prefix: "x/", Settle: 3 * time.Second, Log: zerolog.Nop(),
		Clock: func() clock.Reading { return clock.Reading{Mono: w.mono, Wall: time.Unix(0, 0).Add(w.wall)} },
	})
	return w
}

func (w *world) pass(d time.Duration) { w.mono, w.wall = w.mono+d, w.wall+d }

func (w *world) elect() {
	w.Observe(w.store.items)
	w.step(context.Background())
}

func TestFirstLeaderActsAtOnce(t *testing.T) {
	w := newWorld("a", &fakeStore{items: map[string]store.Item{}})
	w.elect()
	token, ok := w.Authority()
	require.True(t, ok)
	require.Equal(t, int64(1), token)
	term, ok := w.Leader()
	require.False(t, ok, "the store has not shown it yet: %v", term)
}

// A leader is cut off from the store. Its lease may end at any moment from its time to
// live after the last renewal was sent; by then it must have stopped, or two VMs would
// give orders.
func TestAuthorityEndsBeforeTheLease(t *testing.T) {
	w := newWorld("a", &fakeStore{items: map[string]store.Item{}})
	w.elect()
	w.store.away = true
	w.pass(lease - margin - time.Millisecond)
	_, ok := w.Authority()
	require.True(t, ok)
	w.pass(time.Millisecond)
	_, ok = w.Authority()
	require.False(t, ok)
	w.step(context.Background())
	require.False(t, w.Leads())
}

// The store is away for longer than a lease, and leases pause meanwhile. Nobody else can
// have been elected while the lease was there. A leader that gave up at its first failure
// would stand for election again, or another VM would and wait for its last orders: models
// stay where they are for five seconds more.
func TestLeaderGoesOnWhenItsLeaseOutlivedAnOutage(t *testing.T) {
	w := newWorld("a", &fakeStore{items: map[string]store.Item{}})
	w.elect()
	before, _ := w.Authority()
	w.store.away = true
	for range 5 {
		w.pass(time.Second)
		w.step(context.Background())
		_, ok := w.Authority()
		require.False(t, ok && w.mono >= lease)
	}
	w.store.away = false
	w.step(context.Background())
	after, ok := w.Authority()
	require.True(t, ok)
	require.Equal(t, before, after)
}

// The same outage, but the lease ended in it, and another VM has led since.
func TestLeaderWhoseLeaseEndedInAnOutageIsNone(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newWorld("a", s)
	a.elect()
	s.away = true
	a.pass(5 * time.Second)
	a.step(context.Background())
	s.away = false
	delete(s.items, "x/leader")
	newWorld("b", s).elect()
	a.step(context.Background())
	require.False(t, a.Leads())
	_, ok := a.Authority()
	require.False(t, ok)
}

// A leader's VM is suspended for seconds. Its monotonic clock stands still meanwhile, so
// by that clock its lease is young when it wakes, while another VM leads already.
func TestSuspendedLeaderHasNoAuthority(t *testing.T) {
	w := newWorld("a", &fakeStore{items: map[string]store.Item{}})
	w.elect()
	w.wall += 5 * time.Second
	_, ok := w.Authority()
	require.False(t, ok)
}

// Another VM led before. Its last order may still be under way, so the successor waits
// before its own first one.
func TestSuccessorWaits(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	newWorld("a", s).elect()
	delete(s.items, "x/leader")
	b := newWorld("b", s)
	b.elect()
	require.True(t, b.Leads())
	for range 4 {
		_, ok := b.Authority()
		require.False(t, ok)
		b.pass(700 * time.Millisecond)
		b.step(context.Background())
	}
	b.pass(300 * time.Millisecond)
	_, ok := b.Authority()
	require.True(t, ok)
}

// Another VM led a moment ago. An election of this VM takes effect, its answer is lost, and
// it is taken back. The store then names this VM as the last leader, and one that went by
// that would give its first order right after the other VM's last one.
func TestElectionWhoseAnswerWasLostDoesNotSpareTheWait(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	newWorld("a", s).elect()
	delete(s.items, "x/leader")
	b := newWorld("b", s)
	s.loseCommits = true
	b.elect()
	require.False(t, b.Leads())
	s.loseCommits = false
	delete(s.items, "x/leader")
	b.elect()
	require.True(t, b.Leads())
	_, ok := b.Authority()
	require.False(t, ok)
}

// A VM that led before stands again with a view of the store that is a second old: another
// VM has led since. It must not win by that view, or it would not wait.
func TestElectionByAnOldViewFails(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newWorld("a", s)
	a.elect()
	delete(s.items, "x/leader")
	old := maps.Clone(s.items)
	a.pass(lease)
	a.step(context.Background())
	newWorld("b", s).elect()
	delete(s.items, "x/leader")
	a.Observe(old)
	a.step(context.Background())
	require.False(t, a.Leads())
	a.elect()
	require.True(t, a.Leads())
	_, ok := a.Authority()
	require.False(t, ok)
}

// The VM that led last leads again, and nobody else has stood since. It need not wait for
// its own orders.
func TestSameLeaderActsAtOnceAgain(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a := newWorld("a", s)
	a.elect()
	delete(s.items, "x/leader")
	a.pass(lease)
	s.away = true
	a.step(context.Background())
	s.away = false
	a.step(context.Background())
	require.False(t, a.Leads(), "its lease has ended")
	a.elect()
	_, ok := a.Authority()
	require.True(t, ok)
}

func TestOneOfTwoCandidatesWins(t *testing.T) {
	s := &fakeStore{items: map[string]store.Item{}}
	a, b := newWorld("a", s), newWorld("b", s)
	b.Observe(s.items)
	a.elect()
	b.step(context.Background())
	require.True(t, a.Leads())
	require.False(t, b.Leads())
	require.Equal(t, 1, s.revoked)
	b.Observe(s.items)
	term, ok := b.Leader()
	require.True(t, ok)
	require.Equal(t, "a", term.VM)
	var r record
	require.NoError(t, json.Unmarshal(s.items["x/last-leader"].Value, &r))
	require.Equal(t, "a", r.VM)
}

// Hundreds of VMs wait until they lead instead of looking all the time. One that was not woken
// by its election would lead and give no orders for as long as its lease lasts.
func TestElectionWakesWhoWaitsForIt(t *testing.T) {
	w := newWorld("a", &fakeStore{items: map[string]store.Item{}})
	require.False(t, w.Holds())
	require.Empty(t, w.Elected())
	w.elect()
	require.True(t, w.Holds())
	require.Len(t, w.Elected(), 1)
	w.store.away = true
	w.pass(lease)
	w.step(context.Background())
	require.True(t, w.Holds(), "authority may come back")
}
