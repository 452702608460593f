package vm

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// countingStore answers range reads with nothing and counts them by prefix.
type countingStore struct {
	store.Store
	reads map[string]int
}

func (s countingStore) Range(_ context.Context, prefix string) (store.Listing, error) {
	s.reads[prefix]++
	return store.Listing{Revision: 3}, nil
}

// startingTracker returns a tracker of a VM that starts, and its store. The fleet has a hub.
func startingTracker(follow func(context.Context, string, *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error)) (*tracker, countingStore) {
	f, s := testTracker(), countingStore{reads: make(map[string]int)}
	f.store = s
	members := 0
	f.hubClient = hubClient{
		hubs: func() []string {
			if members == 0 {
				return nil
			}
			return []string{"hub"}
		},
		setMembers: func(map[string]store.Item) { members = 60 }, follow: follow,
	}
	return f, s
}

// Guards against hundreds of VMs that each read all upstreams from the store at their start.
func TestStartingVMGetsItsViewFromAHub(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f, s := startingTracker(func(context.Context, string, *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
		cancel()
		return &peerpb.FollowResponse{Revision: 9, Whole: true, FailedMs: -1, Items: []*peerpb.StoreItem{{Key: "servers/a", Revision: 4}}}, 0, nil
	})
	require.NoError(t, f.run(ctx))
	require.Equal(t, map[string]int{projectPrefix: 1}, s.reads)
	require.Contains(t, f.view.items, "servers/a")
}

// The VM that a starting one takes for its hub is gone, or takes itself for none.
func TestStartingVMThatNoHubServesReadsTheStore(t *testing.T) {
	f, s := startingTracker(func(context.Context, string, *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
		return nil, 0, ErrNotWatching
	})
	require.NoError(t, f.readFirst(t.Context()))
	require.Equal(t, 1, s.reads[""])
	require.Equal(t, store.Revision(3), f.viewRevision())
}

// VMs of a domain start together, and one of them is faster than its hub.
func TestHubThatStartsHoldsRequestsUntilItHasAView(t *testing.T) {
	hub := testTracker()
	hub.hubClient.isHub = func() bool { return true }
	answered := make(chan *peerpb.FollowResponse, 1)
	go func() {
		answer, _ := hub.answerFollow(t.Context(), 7, &peerpb.FollowRequest{})
		answered <- answer
	}()
	hub.publishItems(map[string]store.Item{"a": {Key: "a", Revision: 2}}, 2)
	require.Len(t, (<-answered).Items, 1)
}

// A domain of a large fleet has several hubs, of which one watches the store.
func TestHubServesTheViewThatItFollows(t *testing.T) {
	primary, hub, follower := testTracker(), testTracker(), testTracker()
	primary.watching = true
	hub.hubClient.isHub = func() bool { return true }
	primary.publishItems(map[string]store.Item{"a": {Key: "a", Revision: 2}}, 2)
	pass := func(from, to *tracker, incarnation int64, now time.Time) error {
		answer, err := from.answerFollow(t.Context(), incarnation, &peerpb.FollowRequest{})
		require.NoError(t, err)
		_, err = to.applyHubView(answer, now)
		return err
	}
	now := time.Now()
	require.NoError(t, pass(primary, hub, 7, now))
	require.NoError(t, pass(hub, follower, 8, now))
	require.Equal(t, primary.view, follower.view)
	hub.completeAt = now.Add(-2 * hub.maxHubViewAge)
	require.ErrorIs(t, pass(hub, follower, 8, now), ErrHubStale, "the age of a view adds up on its way")
}
