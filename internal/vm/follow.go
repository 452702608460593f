package vm

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/chestnutarch/chestnutarch/internal/patch"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// In a large fleet only the hubs watch the store; the others follow their hub's view. A VM
// whose hub cannot be reached, or hears nothing from the store itself, follows the hub of
// another domain until that has passed, and watches the store if none serves it.

var (
	// ErrNotWatching means that a VM does not watch the store itself, so that nobody can
	// follow it.
	ErrNotWatching = errors.New("vm: this VM does not watch the store")
	// ErrHubStale means that a hub has not heard the store for too long.
	ErrHubStale = errors.New("vm: the hub does not hear the store")
)

const (
	// followWait is how long a hub waits for a change before it answers all the same, and
	// followPause the time between an answer and the next question. Together with
	// followTimeout, the longest silence of a hub before and in an answer, they bound how
	// long a silent hub goes unnoticed.
	followWait    = 300 * time.Millisecond
	followPause   = 150 * time.Millisecond
	followTimeout = 800 * time.Millisecond
	// avoidFirst and avoidMost bound how long a VM does without a hub that has failed it. The
	// time doubles with every failure in a row: when the hub is cut off from the store, each
	// return to it costs a reading of everything.
	avoidFirst = 3 * time.Second
	avoidMost  = 12 * time.Second
	// staleShare is the divisor of the time in which a configuration has to be in force
	// that gives the largest age of a hub's view: the rest is for noticing it and for
	// reading the store.
	staleShare = 2
	// hubPauseShare is the same for the pause between two watches of a hub, which has to
	// be well below that age.
	hubPauseShare = 8
)

// relay is how a tracker reaches hubs.
type relay struct {
	// hubs returns the addresses of the VMs to follow, the first one first; none if this VM
	// has to watch the store.
	hubs func() []string
	// ask returns a hub's answer, and how long ago it began to arrive.
	ask func(ctx context.Context, address string, in *peerpb.FollowRequest) (answer *peerpb.FollowResponse, took time.Duration, err error)
}

// avoidance is for how long a hub is not followed, and until when.
type avoidance struct {
	time  time.Duration
	until time.Time
}

// mayFollow returns the hub to follow now.
func (t *tracker) mayFollow(now time.Time) (address string, ok bool) {
	hubs := t.relay.hubs()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hub := range hubs {
		if now.After(t.avoided[hub].until) {
			return hub, true
		}
	}
	return "", false
}

// alone reports whether this VM watches the store since all its hubs have failed it.
func (t *tracker) alone() bool {
	if len(t.relay.hubs()) == 0 {
		return false
	}
	_, follows := t.mayFollow(time.Now())
	return !follows
}

// followsHub reports whether this VM learns of the store through a hub.
func (t *tracker) followsHub() bool { return t.following.Load() }

// followHub takes the view of a hub over until that fails or this VM has none to follow. It
// turns to a hub that comes before the one that it follows as soon as it may.
func (t *tracker) followHub(ctx context.Context, address string) {
	t.setWatching(false)
	t.following.Store(true)
	defer t.following.Store(false)
	in := &peerpb.FollowRequest{}
	for ctx.Err() == nil {
		in.Held = t.held()
		answer, took, err := t.relay.ask(ctx, address, in)
		taken := false
		if err == nil {
			taken, err = t.takeView(answer, time.Now().Add(-took))
		}
		if err != nil {
			t.leaveHub(address, err)
			return
		}
		if taken {
			t.forgive(address)
			in = &peerpb.FollowRequest{Incarnation: answer.Incarnation, Change: answer.Change}
		}
		sleep(ctx, followPause)
		next, ok := t.mayFollow(time.Now())
		if !ok {
			return
		}
		if next != address {
			address, in = next, &peerpb.FollowRequest{}
		}
	}
}

// takeView takes in a hub's answer that began to arrive at now. It returns false if the hub's view is older than this
// VM's own, and ErrHubStale if it is too old to follow.
func (t *tracker) takeView(answer *peerpb.FollowResponse, now time.Time) (taken bool, err error) {
	age := time.Duration(answer.AgeMs) * time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	if age > t.stale {
		return false, errors.Wrapf(ErrHubStale, "for %v", age)
	}
	if answer.Revision < t.view.revision {
		if now.Sub(t.fresh) > t.stale {
			return false, errors.Wrapf(ErrHubStale, "at revision %d, %d is known", answer.Revision, t.view.revision)
		}
		return false, nil
	}
	if answer.FailedMs >= 0 {
		t.failedAt = later(t.failedAt, now.Add(-time.Duration(answer.FailedMs)*time.Millisecond))
	}
	if err := t.merge(answer, now); err != nil {
		return false, err
	}
	t.fresh = now.Add(-age)
	return true, nil
}

// held returns the revisions of the large values of the view, by key.
func (t *tracker) held() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int64)
	for key, item := range t.view.items {
		if len(item.Value) >= patch.MinBytes {
			out[key] = item.Revision
		}
	}
	return out
}

// merge puts what a hub tells into the view. It must be called with the lock held.
func (t *tracker) merge(answer *peerpb.FollowResponse, now time.Time) error {
	if !answer.Whole && len(answer.Items) == 0 && len(answer.Removed) == 0 {
		t.view.revision = answer.Revision
		return nil
	}
	next := make(map[string]store.Item, len(answer.Items))
	if !answer.Whole {
		next = maps.Clone(t.view.items)
	}
	for _, i := range answer.Items {
		value, err := valueOf(i, t.view.items[i.Key])
		if err != nil {
			return err
		}
		next[i.Key] = store.Item{Key: i.Key, Value: value, Revision: i.Revision}
	}
	for _, key := range answer.Removed {
		delete(next, key)
	}
	clear(t.lapsed)
	t.publish(view{items: next, revision: answer.Revision}, now)
	return nil
}

// leaveHub makes this VM do without a hub for a while.
func (t *tracker) leaveHub(address string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for hub, a := range t.avoided {
		if time.Since(a.until) > avoidMost {
			delete(t.avoided, hub)
		}
	}
	pause := min(max(avoidFirst, 2*t.avoided[address].time), avoidMost)
	t.avoided[address] = avoidance{time: pause, until: time.Now().Add(pause)}
	t.log.Warn().Str("event", "hub_lost").Str("peers", address).AnErr("cause", err).Dur("age_ms", time.Since(t.fresh)).
		Dur("avoided_ms", pause).Send()
}

// forgive makes the next failure of a hub count as its first.
func (t *tracker) forgive(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.avoided, address)
}

func (t *tracker) setWatching(watching bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watching = watching
}

// tell answers a VM that follows this one.
func (t *tracker) tell(ctx context.Context, incarnation int64, in *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	since := in.Change
	if in.Incarnation != incarnation {
		since = 0
	}
	t.awaitChange(ctx, since)
	out, items, err := t.news(incarnation, since)
	if err != nil {
		return nil, err
	}
	for _, item := range items {
		out.Items = append(out.Items, t.values.item(item, in.Held[item.Key]))
	}
	return out, nil
}

// news returns what has changed in the view, with the items apart.
func (t *tracker) news(incarnation, since int64) (*peerpb.FollowResponse, []store.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.watching {
		return nil, nil, errors.WithStack(ErrNotWatching)
	}
	out := &peerpb.FollowResponse{
		Incarnation: incarnation, Change: t.changes.number, Revision: t.view.revision,
		AgeMs: time.Since(t.fresh).Milliseconds(), FailedMs: -1,
	}
	if !t.failedAt.IsZero() {
		out.FailedMs = time.Since(t.failedAt).Milliseconds()
	}
	changed, removed, known := t.changes.since(since)
	if !known {
		out.Whole = true
		return out, slices.Collect(maps.Values(t.view.items)), nil
	}
	out.Removed = removed
	items := make([]store.Item, 0, len(changed))
	for _, key := range changed {
		items = append(items, t.view.items[key])
	}
	return out, items, nil
}

// awaitChange returns when the view has changed since, or after followWait.
func (t *tracker) awaitChange(ctx context.Context, since int64) {
	t.mu.Lock()
	fresh, waits := t.changes.fresh, t.watching && since == t.changes.number
	t.mu.Unlock()
	if !waits {
		return
	}
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	select {
	case <-fresh:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// askHub asks a hub for what has changed in its view.
func (p *Process) askHub(ctx context.Context, address string, in *peerpb.FollowRequest) (*peerpb.FollowResponse, time.Duration, error) {
	answer := &peerpb.FollowResponse{}
	took, err := p.pool.Receive(ctx, address, followTimeout, func(ctx context.Context, conn grpc.ClientConnInterface) (peer.Pieces, error) {
		return peerpb.NewVMsClient(conn).Follow(ctx, in)
	}, answer)
	return answer, took, err
}
