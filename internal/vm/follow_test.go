package vm

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/patch"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// followers counts the VMs that do not watch the store themselves.
func (c *cluster) followers() int {
	n := 0
	for _, v := range c.vms {
		v.tracker.mu.Lock()
		if !v.tracker.watching {
			n++
		}
		v.tracker.mu.Unlock()
	}
	return n
}

// Fourteen VMs that all watched the store would cost fourteen waiting calls. One of each
// failure domain watches, and the others learn of a new configuration and of a replica that
// leaves through it. Then the store turns the hub away, and the VMs behind it would go on
// with what they know: a key that is withdrawn meanwhile has to stop working there all the
// same, first through the other domain's hub, and without any hub once that is turned away
// too.
func TestVMsFollowTheirHubAndDoWithoutIt(t *testing.T) {
	c := newCluster(t, standin.NewReplica("clerk-1", 0), standin.NewReplica("clerk-2", 0))
	for i := range pauseFleet + 2 {
		c.startIn(fmt.Sprintf("vm-%02d", i), fmt.Sprint(i%2))
	}
	c.eventually(func() bool { return c.followers() == pauseFleet })
	c.configure(nil)
	c.describe("clerk-2", "draining")
	for _, v := range c.vms {
		c.eventually(func() bool { return v.core.Catalog().Version == int64(c.version) })
		c.eventually(func() bool { return v.instance("clerk-2").Draining })
	}
	c.vms[0].turnedAway.Store(true)
	behind := c.vms[2:]
	c.eventually(func() bool { return c.avoiding(behind, c.vms[0]) == pauseFleet/2 })
	c.withdrawKeys("another")
	c.vms[1].turnedAway.Store(true)
	c.eventually(func() bool { return c.followers() < pauseFleet-2 })
	c.withdrawKeys("a third")
}

// withdrawKeys gives the team another key, and returns once all VMs have that in force.
func (c *cluster) withdrawKeys(key string) {
	c.configure(func(config map[string]any) {
		config["tenants"].([]any)[0].(map[string]any)["keys"] = []string{key}
	})
	for _, v := range c.vms {
		c.eventually(func() bool { return v.core.Catalog().Version == int64(c.version) })
	}
}

// avoiding counts the VMs that do without a hub, but not alone.
func (c *cluster) avoiding(vms []*testVM, hub *testVM) int {
	n := 0
	for _, v := range vms {
		v.tracker.mu.Lock()
		a := v.tracker.avoided[hub.peerAddress()]
		v.tracker.mu.Unlock()
		if time.Now().Before(a.until) && !v.tracker.alone() {
			n++
		}
	}
	return n
}

// TestFollowerSeesWhatTheHubSees plays changes of a hub's view: whatever is written and
// removed, and however many changes a follower misses, its view is the hub's after it has
// asked once more.
func TestFollowerSeesWhatTheHubSees(t *testing.T) {
	noWait, cancel := context.WithCancel(context.Background())
	cancel()
	rapid.Check(t, func(t *rapid.T) {
		hub, follower := testTracker(), testTracker()
		hub.watching = true
		items, revision := map[string]store.Item{}, int64(0)
		in := &peerpb.FollowRequest{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "writes") {
				key := fmt.Sprint("key-", rapid.IntRange(0, 5).Draw(t, "key"))
				revision++
				if rapid.Bool().Draw(t, "removes") {
					delete(items, key)
					continue
				}
				value := bytes.Repeat([]byte(fmt.Sprint(revision)), rapid.SampledFrom([]int{1, 1, 1, 1, 1, patch.MinBytes}).Draw(t, "size"))
				items[key] = store.Item{Key: key, Value: value, Revision: revision}
			}
			hub.replace(items, revision)
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				in = &peerpb.FollowRequest{Incarnation: 1, Change: 3}
			}
			if rapid.Bool().Draw(t, "misses") {
				continue
			}
			in.Held = follower.held()
			answer, err := hub.tell(noWait, 7, in)
			if err != nil {
				t.Fatal(err)
			}
			if taken, err := follower.takeView(answer, time.Now()); err != nil || !taken {
				t.Fatal(taken, err)
			}
			in = &peerpb.FollowRequest{Incarnation: answer.Incarnation, Change: answer.Change}
			require.Equal(t, hub.view, follower.view)
		}
	})
}

// A hub that hears nothing from the store answers as fast as ever. Its followers must not
// take its old view for the present one.
func TestStaleHubIsNotFollowed(t *testing.T) {
	f := testTracker()
	_, err := f.takeView(&peerpb.FollowResponse{Revision: 9, AgeMs: f.stale.Milliseconds() + 1, FailedMs: -1}, time.Now())
	require.ErrorIs(t, err, ErrHubStale)
}

// A large answer takes longer over a narrow link than a hub's view may be old. Thrown away
// when it is complete, it would be asked for again and again; it is just not as fresh.
func TestAnswerThatTookLongIsTaken(t *testing.T) {
	f := testTracker()
	ctx, cancel := context.WithCancel(t.Context())
	took := 2 * f.stale
	f.relay = relay{
		hubs: func() []string { return []string{"hub"} },
		ask: func(context.Context, string, *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
			cancel()
			return &peerpb.FollowResponse{Revision: 9, Whole: true, FailedMs: -1}, took, nil
		},
	}
	f.followHub(ctx, "hub")
	require.Equal(t, int64(9), f.at())
	require.GreaterOrEqual(t, f.age(), took)
	require.False(t, f.alone())
}

// The hub of a domain dies, or the store turns it away. Fifty VMs that read the store
// themselves from then on would cost it more than all hubs do in a minute; the other domains'
// hubs know as much. When none of them serves, the VM has to watch the store after all.
func TestVMWhoseHubFailsFollowsAnotherDomains(t *testing.T) {
	f := testTracker()
	f.relay = relay{hubs: func() []string { return []string{"own", "far"} }}
	now := time.Now()
	first := func(at time.Time) string {
		hub, _ := f.mayFollow(at)
		return hub
	}
	require.Equal(t, "own", first(now))
	f.leaveHub("own", ErrHubStale)
	require.Equal(t, "far", first(now))
	require.False(t, f.alone())
	f.leaveHub("far", ErrHubStale)
	require.Empty(t, first(now))
	require.True(t, f.alone())
	back := now.Add(avoidFirst + time.Second)
	require.Equal(t, "own", first(back))
	f.leaveHub("own", ErrHubStale)
	require.Equal(t, "far", first(back), "the second failure in a row counts for longer")
	f.forgive("own")
	require.Equal(t, "own", first(now))
}

// deafStore answers nothing.
type deafStore struct{ store.Store }

func (deafStore) Range(context.Context, string) (store.Listing, error) {
	return store.Listing{}, store.ErrUnknown
}

// The store is silent for all VMs, so that hubs cannot be followed either. When they hear it
// again and this VM does not, it must not go on asking the store alone: it would route by what
// was known before the outage for as long as the store turns it away.
func TestVMThatTheStoreTurnsAwayReturnsToItsHub(t *testing.T) {
	f := testTracker()
	f.store = deafStore{}
	ctx, cancel := context.WithCancel(t.Context())
	f.relay = relay{
		hubs: func() []string { return []string{"hub"} },
		ask: func(context.Context, string, *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
			cancel()
			return &peerpb.FollowResponse{Revision: 9, Whole: true, FailedMs: -1}, 0, nil
		},
	}
	require.NoError(t, f.run(ctx))
	require.Equal(t, int64(9), f.at())
}

// The store turns away a third of three hundred VMs for nine seconds. Each of them asked it
// again seven times a second, which the store had to answer.
func TestRetriesOfALargeFleetGrowRarer(t *testing.T) {
	f := testTracker()
	require.Equal(t, retryPause, f.retryAfter(0))
	require.Equal(t, 2*f.hubPause, f.retryAfter(9))
	f.vms = func() int { return pauseFleet }
	require.Equal(t, retryPause, f.retryAfter(9))
}

// A VM has read the store itself when it returns to its hub, which has not seen as much yet.
// What the VM knows must not be undone: a replica that left would get requests again.
func TestHubThatLagsBehindUndoesNothing(t *testing.T) {
	f, now := testTracker(), time.Now()
	f.replace(map[string]store.Item{"a": {Key: "a", Revision: 9}}, 9)
	behind := &peerpb.FollowResponse{Revision: 8, Whole: true, FailedMs: -1}
	taken, err := f.takeView(behind, now)
	require.NoError(t, err)
	require.False(t, taken)
	require.Contains(t, f.view.items, "a")
	_, err = f.takeView(behind, now.Add(f.stale+time.Second))
	require.ErrorIs(t, err, ErrHubStale, "it does not catch up")
}

// Entries lapse while the store is away, though their replicas live. A follower learns from
// its hub that the store was away, or it would take each replica that writes again for one
// that had left.
func TestFollowerKnowsThatTheStoreWasAway(t *testing.T) {
	f, now := testTracker(), time.Now()
	require.False(t, f.awayWithin(now, revivalTime))
	_, err := f.takeView(&peerpb.FollowResponse{Revision: 1, FailedMs: 1000}, now)
	require.NoError(t, err)
	require.True(t, f.awayWithin(now, revivalTime))
}

func TestVMThatFollowsIsNotFollowed(t *testing.T) {
	f := testTracker()
	_, err := f.tell(t.Context(), 7, &peerpb.FollowRequest{})
	require.ErrorIs(t, err, ErrNotWatching)
}

func testTracker() *tracker {
	return newTracker(nil, zerolog.Nop(), func(view) {}, func() int { return 60 }, 3*time.Second, relay{})
}

// replace makes items the view.
func (t *tracker) replace(items map[string]store.Item, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]store.Item, len(items))
	for key, item := range items {
		next[key] = item
	}
	t.publish(view{items: next, revision: revision}, time.Now())
}
