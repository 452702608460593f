package vm

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform"
)

const (
	// watchWait is how long one watch waits for a change. It bounds, with the
	// store's timeout, how long a watch can be silent unnoticed.
	watchWait = 500 * time.Millisecond
	// watchPause is the time between two watches. Instances write all the time, so a
	// watch returns at once; without a pause every heartbeat would cost a call of
	// every VM. A configuration has to be in force within two seconds.
	watchPause = 600 * time.Millisecond
	// pauseFleet is the number of VMs up to which the pause is the shortest: a dozen VMs
	// make some 20 calls a second.
	pauseFleet = 12
	// retryPause is the time between tries while the store does not answer.
	retryPause = 150 * time.Millisecond
	// returnGrace is how long after the store's return an entry that lapsed is still
	// believed. Leases may run out while the store is away; what lives is back
	// within about two seconds.
	returnGrace = 2200 * time.Millisecond
)

// view is the state of the store as this VM knows it.
type view struct {
	items map[string]store.Item
	// revision is the store's revision that the view stands for.
	revision int64
}

// tracker follows all keys of the store, with one watch or through a hub.
type tracker struct {
	store   store.Store
	log     zerolog.Logger
	changed func(view)
	relay   relay
	values  values
	// following says that this VM learns of the store through a hub.
	following atomic.Bool
	// vms is the number of VMs, longest the longest pause between two watches.
	vms     func() int
	longest time.Duration
	// stale is the largest age of a hub's view, hubPause the time between two watches of
	// a hub.
	stale, hubPause time.Duration

	mu      sync.Mutex
	view    view
	changes *changes
	// watching says that this VM watches the store itself.
	watching bool
	// avoided holds the hubs that have failed this VM lately, by address.
	avoided map[string]avoidance
	// lapsed holds entries that disappeared while the store was away or had just
	// returned, with the time at which they are given up.
	lapsed map[string]time.Time
	// failedAt is when a call of the store last failed.
	failedAt time.Time
	lost     bool
	// fresh is when the view was last known to be complete.
	fresh time.Time
}

// newTracker returns a tracker of a store whose configurations have to be in force within
// some time.
func newTracker(s store.Store, log zerolog.Logger, changed func(view), vms func() int, inForce time.Duration, r relay) *tracker {
	return &tracker{
		store: s, log: log, changed: changed, vms: vms, relay: r, values: newValues(),
		longest: inForce * 2 / 3, stale: inForce / staleShare, hubPause: inForce / hubPauseShare,
		changes: newChanges(), avoided: make(map[string]avoidance), lapsed: make(map[string]time.Time),
	}
}

// run follows the store until ctx ends.
func (t *tracker) run(ctx context.Context) error {
	read, failures := t.list, 0
	for ctx.Err() == nil {
		if err := read(ctx); err != nil {
			t.failed(err)
			sleep(ctx, t.retryAfter(failures))
			failures++
			if _, ok := t.mayFollow(time.Now()); !ok {
				continue
			}
			// The store goes on to turn this VM away, and a hub may know more by now.
		}
		read, failures = t.list, 0
		if t.follow(ctx) == nil && t.at() > 0 {
			read = t.listLeased
		}
	}
	return nil
}

// follow watches until the history is gone, or follows a hub until that fails. It returns
// store.ErrCompacted, wrapped, if the view lacks changes that a watch will not tell.
func (t *tracker) follow(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if hub, ok := t.mayFollow(time.Now()); ok {
			t.followHub(ctx, hub)
			if _, another := t.mayFollow(time.Now()); another {
				continue
			}
			return nil
		}
		events, err := t.store.Watch(ctx, "", t.at(), watchWait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			return err
		case err != nil:
			t.failed(err)
			sleep(ctx, t.retryAfter(failures))
			failures++
			continue
		}
		failures = 0
		t.apply(events)
		sleep(ctx, t.pause())
	}
	return nil
}

// pause is the time between two watches. It grows with the fleet, so that the calls of
// all VMs grow more slowly: VMs tell each other what the one has seen that watched last.
func (t *tracker) pause() time.Duration {
	if len(t.relay.hubs()) == 0 && t.vms() > pauseFleet {
		// Others follow this VM.
		return t.hubPause
	}
	scaled := watchPause * time.Duration(t.vms()) / pauseFleet
	return min(max(watchPause, scaled), max(watchPause, t.longest))
}

// retryAfter is the time until the next try after so many in a row that failed. In a large
// fleet it grows: a store that turns VMs away answers each of their tries.
func (t *tracker) retryAfter(failures int) time.Duration {
	if t.vms() <= pauseFleet {
		return retryPause
	}
	return min(retryPause<<min(failures, 4), max(retryPause, 2*t.hubPause))
}

func (t *tracker) at() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.revision
}

// list reads everything. An entry that is missing then was deleted while nobody
// watched.
func (t *tracker) list(ctx context.Context) error {
	listing, err := t.store.Range(ctx, "")
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.adopt(listing.Items, listing.Revision)
	return nil
}

// listLeased reads the keys that leases keep, after this VM has followed a hub: a hub may
// have told it of keys that the store had dropped. A watch from the view's revision tells
// what has happened to the others. All VMs behind a hub that is lost do this at once, and
// the configuration is most of what the store holds.
func (t *tracker) listLeased(ctx context.Context) error {
	var items []store.Item
	for _, prefix := range leasedPrefixes {
		listing, err := t.store.Range(ctx, prefix)
		if err != nil {
			return err
		}
		items = append(items, listing.Items...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range t.view.items {
		if !leased(item.Key) {
			items = append(items, item)
		}
	}
	complete := t.fresh
	t.adopt(items, t.view.revision)
	t.fresh = complete
	return nil
}

// leasedPrefixes are the prefixes of keys that the store drops when their leases end.
var leasedPrefixes = []string{platform.InstancePrefix, ownPrefix}

func leased(key string) bool {
	return slices.ContainsFunc(leasedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}

// adopt makes the items that were read the view. It must be called with the lock held.
func (t *tracker) adopt(items []store.Item, revision int64) {
	now := time.Now()
	next := make(map[string]store.Item, len(items))
	for _, item := range items {
		next[item.Key] = item
	}
	for key, old := range t.view.items {
		if _, ok := next[key]; !ok && t.hold(key, now) {
			next[key] = old
		}
	}
	for key := range t.lapsed {
		if item, ok := next[key]; ok && item.Revision != t.view.items[key].Revision {
			delete(t.lapsed, key)
		}
	}
	t.watching = true
	t.publish(view{items: next, revision: revision}, now)
}

func (t *tracker) apply(events store.Events) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := maps.Clone(t.view.items)
	for _, e := range events.Events {
		if e.Revision < next[e.Key].Revision {
			// The key was read after this.
			continue
		}
		if !e.Deleted {
			next[e.Key] = e.Item
			delete(t.lapsed, e.Key)
			continue
		}
		if !t.hold(e.Key, now) {
			delete(next, e.Key)
		}
	}
	t.publish(view{items: next, revision: events.Revision}, now)
}

// hold reports whether an entry that has disappeared is to be kept for a while: if
// the store was away just now, its lease may have lapsed although the instance
// lives.
func (t *tracker) hold(key string, now time.Time) bool {
	if strings.HasPrefix(key, ownPrefix) || t.failedAt.IsZero() {
		return false
	}
	until, ok := t.lapsed[key]
	if !ok {
		until = t.failedAt.Add(returnGrace)
		t.lapsed[key] = until
	}
	return now.Before(until)
}

// publish must be called with the lock held.
func (t *tracker) publish(next view, now time.Time) {
	for key, until := range t.lapsed {
		if now.After(until) {
			delete(next.items, key)
			delete(t.lapsed, key)
		}
	}
	if t.lost {
		t.lost = false
		t.log.Info().Str("event", "store_regained").Int64("revision", next.revision).Send()
	}
	t.changes.note(t.view.items, next.items)
	for _, item := range next.items {
		t.values.note(item)
	}
	t.view, t.fresh = next, now
	t.changed(next)
}

func (t *tracker) failed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedAt = time.Now()
	if !t.lost {
		t.lost = true
		t.log.Warn().Str("event", "store_lost").AnErr("cause", err).Int64("revision", t.view.revision).
			Dur("age_ms", time.Since(t.fresh)).Send()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// age returns how old the newest view is.
func (t *tracker) age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.fresh)
}

// awayWithin reports whether a call of the store failed within some time. It is
// called while a view is published.
func (t *tracker) awayWithin(now time.Time, within time.Duration) bool {
	return !t.failedAt.IsZero() && now.Sub(t.failedAt) < within
}
