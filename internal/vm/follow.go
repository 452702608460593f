package vm

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// In a large fleet only one hub of each failure domain watches the store. The domain's other hubs
// follow its view, and the other VMs that of their hub. A VM whose hub is unreachable, or has lost the
// store itself, follows another hub until its own recovers, and watches the store if no hub serves it.

var (
	// ErrNotWatching means that a VM neither watches the store itself nor is a hub, so that it
	// cannot be followed.
	ErrNotWatching = errors.New("vm: this VM does not watch the store and is no hub")
	// ErrHubStale means that the view of a hub is too old to be followed.
	ErrHubStale = errors.New("vm: the hub's view of the store is too old")
)

const (
	// followWait is how long a hub waits for a change before it answers without one,
	// followPause the time between an answer and the next request. Together with
	// followTimeout, the longest time without data from a hub before and within an answer,
	// they bound the time until a silent hub is noticed.
	followWait    = 300 * time.Millisecond
	followPause   = 150 * time.Millisecond
	followTimeout = 800 * time.Millisecond
	// hubBackoffMin and hubBackoffMax bound how long a VM does not use a hub that has failed.
	// The time doubles with every consecutive failure: while the hub is cut off from the
	// store, each return to it costs a transfer of the whole view.
	hubBackoffMin = 3 * time.Second
	hubBackoffMax = 12 * time.Second
	// staleDivisor divides the time in which a configuration has to be in force, which gives
	// the largest age at which a hub's view is followed. The rest is for detecting a stale
	// hub and reading the store.
	staleDivisor = 2
	// hubPauseDivisor divides the same time, which gives a hub's pause between two watches of
	// the store. The pause has to be well below the largest age.
	hubPauseDivisor = 8
)

// hubClient is a tracker's access to hubs.
type hubClient struct {
	// hubs returns the addresses of the hubs to follow, in order of preference; none if this
	// VM has to watch the store.
	hubs func() []string
	// isHub reports whether this VM is a hub, which may be followed while it follows another one.
	isHub func() bool
	// setMembers is called with the keys of this project, by key, before there is a view.
	setMembers func(map[string]store.Item)
	// follow returns a hub's answer and the time since its first byte arrived.
	follow func(ctx context.Context, address string, in *peerpb.FollowRequest) (answer *peerpb.FollowResponse, took time.Duration, err error)
}

// hubBackoff is how long a hub that has failed is not followed, and until when.
type hubBackoff struct {
	duration time.Duration
	until    time.Time
}

// usableHub returns the first hub that is not in backoff.
func (t *tracker) usableHub(now time.Time) (address string, ok bool) {
	hubs := t.hubClient.hubs()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hub := range hubs {
		if now.After(t.hubBackoffs[hub].until) {
			return hub, true
		}
	}
	return "", false
}

// allHubsFailed reports whether this VM has hubs to follow but all of them are in backoff, so
// that it watches the store itself.
func (t *tracker) allHubsFailed() bool {
	if len(t.hubClient.hubs()) == 0 {
		return false
	}
	_, follows := t.usableHub(time.Now())
	return !follows
}

// followsHub reports whether this VM receives its view of the store from a hub.
func (t *tracker) followsHub() bool { return t.following.Load() }

// followHub applies the view of a hub until that fails or this VM has no hub to follow. It
// switches to a hub of higher preference as soon as that is out of backoff.
func (t *tracker) followHub(ctx context.Context, address string) {
	t.setWatching(false)
	t.following.Store(true)
	defer t.following.Store(false)
	in := &peerpb.FollowRequest{}
	for ctx.Err() == nil {
		in.Held, in.ReadsPacked = t.heldRevisions(), true
		began := time.Now()
		answer, took, err := t.hubClient.follow(ctx, address, in)
		arrived := time.Now().Add(-took)
		if t.stalls.stoodSince(began) {
			if err != nil && ctx.Err() == nil {
				// That the call took too long says nothing about the hub.
				continue
			}
			arrived = began
		}
		applied := false
		if err == nil {
			applied, err = t.applyHubView(answer, arrived)
		}
		if err != nil {
			t.backOffHub(address, err)
			return
		}
		if applied {
			t.resetHubBackoff(address)
			in = &peerpb.FollowRequest{Incarnation: answer.Incarnation, Change: answer.Change}
		}
		if !t.stalls.pending() {
			t.fresh.pause(ctx, followPause)
		}
		next, ok := t.usableHub(time.Now())
		if !ok {
			return
		}
		if next != address {
			address, in = next, &peerpb.FollowRequest{}
		}
	}
}

// applyHubView applies a hub's answer that began to arrive at now. It returns false if the
// hub's view is older than this VM's own, and ErrHubStale if it is too old to follow.
func (t *tracker) applyHubView(answer *peerpb.FollowResponse, now time.Time) (applied bool, err error) {
	age := time.Duration(answer.AgeMs) * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	if age > t.maxHubViewAge {
		return false, errors.Wrapf(ErrHubStale, "view is %v old", age)
	}
	if store.Revision(answer.Revision) < t.view.revision {
		if now.Sub(t.completeAt) > t.maxHubViewAge {
			return false, errors.Wrapf(ErrHubStale, "hub is at revision %v, this VM at revision %v", store.Revision(answer.Revision), t.view.revision)
		}
		return false, nil
	}
	if answer.FailedMs >= 0 {
		t.hubOutageEnd = later(t.hubOutageEnd, now.Add(-time.Duration(answer.FailedMs)*time.Millisecond))
	}
	asOf := now.Add(-age)
	if err := t.merge(answer, asOf, now); err != nil {
		return false, err
	}
	t.completeAt = asOf
	t.contact.recordComplete(asOf)
	t.stalls.recordNews(t.completeAt)
	t.fresh.confirm(asOf)
	return true, nil
}

// heldRevisions returns the revisions of the large values in the view, by key.
func (t *tracker) heldRevisions() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int64)
	for key, item := range t.view.items {
		if isLarge(item) {
			out[key] = int64(item.Revision)
		}
	}
	return out
}

// merge merges a hub's answer, whose view is complete as of a time, into the view. It must be called with the lock held.
func (t *tracker) merge(answer *peerpb.FollowResponse, asOf, now time.Time) error {
	revision := store.Revision(answer.Revision)
	t.recordEra(revision, now)
	if !answer.Whole && len(answer.Items) == 0 && len(answer.Packed) == 0 && len(answer.Removed) == 0 {
		t.publish(nil, nil, revision, revision, asOf, now)
		return nil
	}
	packed, err := unpackItems(answer.Packed)
	if err != nil {
		return err
	}
	byKey := make(map[string]store.Item, len(packed)+len(answer.Items))
	for _, i := range slices.Concat(packed, answer.Items) {
		value, err := decodeItem(i, t.view.items[i.Key])
		if err != nil {
			return err
		}
		byKey[i.Key] = store.Item{Key: i.Key, Value: value, Revision: store.Revision(i.Revision)}
	}
	for _, key := range answer.Removed {
		delete(byKey, key)
	}
	written := slices.Collect(maps.Values(byKey))
	removed := answer.Removed
	if answer.Whole {
		removed = t.view.missingFrom(written)
	}
	clear(t.lapsed)
	t.publish(written, removed, revision, revision, asOf, now)
	return nil
}

// backOffHub excludes a hub that has failed from use for a while.
func (t *tracker) backOffHub(address string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for hub, a := range t.hubBackoffs {
		if time.Since(a.until) > hubBackoffMax {
			delete(t.hubBackoffs, hub)
		}
	}
	pause := min(max(hubBackoffMin, 2*t.hubBackoffs[address].duration), hubBackoffMax)
	t.hubBackoffs[address] = hubBackoff{duration: pause, until: time.Now().Add(pause)}
	t.log.Warn().Str("event", "hub_lost").Str("peers", address).AnErr("cause", err).Dur("age_ms", time.Since(t.completeAt)).
		Dur("avoided_ms", pause).Send()
}

// resetHubBackoff makes the next failure of a hub count as its first.
func (t *tracker) resetHubBackoff(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hubBackoffs, address)
}

func (t *tracker) setWatching(watching bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watching = watching
}

// callHub requests the changes of a hub's view.
func (p *Process) callHub(ctx context.Context, address string, in *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
	answer := &peerpb.FollowResponse{}
	took, err := p.pool.ReceivePieces(ctx, address, followTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (peer.PieceStream, error) {
		return peerpb.NewVMsClient(conn).Follow(ctx, in)
	}, answer)
	return answer, took, err
}
