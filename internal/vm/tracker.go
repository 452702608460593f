package vm

import (
	"context"
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
	// watchTimeout is how long one watch call waits for a change. Together with the store's
	// timeout it bounds how long a silent watch goes unnoticed.
	watchTimeout = 500 * time.Millisecond
	// minWatchPause is the shortest time between two watch calls. Instances write constantly, so
	// a watch returns at once, and without a pause every heartbeat would cost a call of every
	// VM. The time within which a configuration has to be in force limits the pause:
	// platform.Bounds.Configuration, two seconds for example.
	minWatchPause = 600 * time.Millisecond
	// meshMaxVMs is the largest number of VMs that need no hubs, as topology.MeshLimit is: all of
	// them watch the store with the pause minWatchPause, and retry failed calls without backoff. A
	// dozen VMs make about 20 calls a second.
	meshMaxVMs = 12
	// minRetryPause is the shortest time between attempts while the store does not answer.
	minRetryPause = 150 * time.Millisecond
)

// tracker keeps a view of all keys of the store, with one watch or through a hub.
type tracker struct {
	store store.Store
	log   zerolog.Logger
	// onChange is called with every view that is published, and with its difference from the
	// one before, with the lock held. It must not keep the view's items.
	onChange  func(view, viewDelta)
	hubClient hubClient
	// onSuperseded, unless nil, is called with the states of instances that a later event of the same
	// answer replaces, with the lock held.
	onSuperseded func([]store.Item)
	// departed, unless nil, reports whether the instance that a key of the view describes is known to have
	// left.
	departed  func(key string) bool
	values    valueHistory
	snapshots snapshots
	deltas    deltas
	// following reports that this VM follows the store through a hub.
	following atomic.Bool
	// stalls tells when this process stood still.
	stalls *stalls
	// fresh tells up to which time the view holds all changes.
	fresh *freshness
	// vmCount returns the number of VMs. maxPause is the longest pause between two watch calls.
	vmCount  func() int
	maxPause time.Duration
	// maxHubViewAge is the largest acceptable age of a hub's view, hubWatchPause the time between two
	// watch calls of a hub.
	maxHubViewAge, hubWatchPause time.Duration

	mu      sync.Mutex
	view    view
	changes *changeLog
	// watching reports that this VM watches the store itself.
	watching bool
	// hubBackoffs holds the hubs that have recently failed for this VM, by address.
	hubBackoffs map[string]hubBackoff
	// lapsed holds the keys of entries that disappeared while the store was unavailable or
	// had just returned, with the time until which the entries are kept.
	lapsed map[string]time.Time
	// contact tells whether leases of live instances may have ended in an outage of the store that this
	// VM saw. hubOutageEnd is when the last such outage ended that a hub saw, as far as its hubs report it.
	contact      contact
	hubOutageEnd time.Time
	// storeLost reports that the loss of the store was logged and no view was published since.
	storeLost bool
	// firstView is closed when the first view is published.
	firstView chan struct{}
	// completeAt is when the view was last known to be complete.
	completeAt time.Time
}

// newTracker returns a tracker of a store whose configurations have to be in force within
// configurationDeadline, and to which instances write every heartbeat. vmCount returns the number of VMs.
func newTracker(s store.Store, log zerolog.Logger, onChange func(view, viewDelta), vmCount func() int, configurationDeadline, heartbeat time.Duration, stalls *stalls, hubs hubClient) *tracker {
	return &tracker{
		store: s, log: log, stalls: stalls, fresh: newFreshness(), onChange: onChange, vmCount: vmCount, hubClient: hubs, values: newValueHistory(), contact: contact{minOutage: lapseHeartbeats * heartbeat},
		maxPause: configurationDeadline * 2 / 3, maxHubViewAge: configurationDeadline / staleDivisor, hubWatchPause: configurationDeadline / hubPauseDivisor,
		view: view{items: make(map[string]store.Item)}, changes: newChangeLog(), firstView: make(chan struct{}), hubBackoffs: make(map[string]hubBackoff), lapsed: make(map[string]time.Time),
	}
}

// run follows the store until ctx ends.
func (t *tracker) run(ctx context.Context) error {
	read, failures := t.readFirst, 0
	for ctx.Err() == nil {
		if err := read(ctx); err != nil {
			t.recordFailure(err)
			sleep(ctx, t.retryAfter(failures))
			failures++
			if _, ok := t.usableHub(time.Now()); !ok {
				continue
			}
			// The store may keep rejecting this VM while a hub reads it again and has a newer
			// view. The VM follows that hub without a read of its own.
		}
		read, failures = t.listAll, 0
		if t.watchOrFollow(ctx) == nil && t.viewRevision() > 0 {
			read = t.listLeased
		}
	}
	return nil
}

// watchOrFollow follows a hub if one is usable, and otherwise watches the store until a hub is.
// It returns nil once this VM has followed a hub and no hub is usable any more, or ctx has ended.
// It returns store.ErrCompacted, wrapped, if the view lacks changes that a watch will no longer
// return.
func (t *tracker) watchOrFollow(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if hub, ok := t.usableHub(time.Now()); ok {
			t.followHub(ctx, hub)
			if _, another := t.usableHub(time.Now()); another {
				continue
			}
			return nil
		}
		began, wait := time.Now(), watchTimeout
		if t.fresh.wanted() {
			wait = 0
		}
		events, err := t.store.Watch(ctx, "", t.viewRevision(), wait)
		switch {
		case errors.Is(err, store.ErrCompacted):
			return err
		case err != nil:
			t.recordFailure(err)
			sleep(ctx, t.retryAfter(failures))
			failures++
			continue
		}
		failures = 0
		t.applyEvents(events, began)
		if !t.stalls.pending() {
			t.fresh.pause(ctx, t.watchPause())
		}
	}
	return nil
}

// watchPause is the pause between two watch calls. It grows with the fleet, so that the total
// number of calls grows more slowly: VMs learn of departures and of newer configurations from the
// reports of the VM that watched last.
func (t *tracker) watchPause() time.Duration {
	if len(t.hubClient.hubs()) == 0 && t.vmCount() > meshMaxVMs {
		// This VM is a hub. Its pause adds to the age of the view of each VM that follows it.
		return t.hubWatchPause
	}
	scaled := minWatchPause * time.Duration(t.vmCount()) / meshMaxVMs
	return min(max(minWatchPause, scaled), max(minWatchPause, t.maxPause))
}

// retryAfter is the time until the next attempt after a number of consecutive failures. In a
// large fleet it grows with that number: a store that rejects VMs still answers every attempt.
func (t *tracker) retryAfter(failures int) time.Duration {
	if t.vmCount() <= meshMaxVMs {
		return minRetryPause
	}
	return min(minRetryPause<<min(failures, 4), max(minRetryPause, 2*t.hubWatchPause))
}

func (t *tracker) viewRevision() store.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.revision
}

// replaceView replaces the view by the items that were read by calls of which the first one began at a time,
// those under leases at leasedRevision, and keeps lapsed entries. It must be called with the lock held.
func (t *tracker) replaceView(items []store.Item, revision, leasedRevision store.Revision, began time.Time) {
	now := time.Now()
	t.recordEra(revision, now)
	asOf := t.stalls.asOf(began, now)
	t.contact.recordComplete(asOf)
	read := make(map[string]bool, len(items))
	for _, item := range items {
		read[item.Key] = true
	}
	var removed []string
	for key := range t.view.items {
		if !read[key] && !t.keepLapsed(key, now) {
			removed = append(removed, key)
		}
	}
	for _, item := range items {
		if _, ok := t.lapsed[item.Key]; ok && item.Revision != t.view.items[item.Key].Revision {
			delete(t.lapsed, item.Key)
		}
	}
	t.watching = true
	t.publish(items, removed, revision, leasedRevision, asOf, now)
	t.fresh.confirm(began)
}

// recordEra notes that the view is about to become one of a later era of the store: the copy lacks what was written since
// it was taken, leases too. It must be called with the lock held.
func (t *tracker) recordEra(revision store.Revision, now time.Time) {
	if t.completeAt.IsZero() || revision.Era() <= t.view.revision.Era() {
		return
	}
	t.contact.recordRestore(now)
	t.log.Warn().Str("event", "store_restored").Stringer("revision", revision).Stringer("before", t.view.revision).Send()
}

// applyEvents applies the answer to a watch call that began at a time.
func (t *tracker) applyEvents(events store.Events, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	asOf := t.stalls.asOf(began, now)
	t.contact.recordComplete(asOf)
	// Of several events of a key the last one counts.
	newest := make(map[string]store.Event, len(events.Events))
	var superseded []store.Item
	for _, e := range events.Events {
		if e.Revision < t.view.items[e.Key].Revision || e.Revision < newest[e.Key].Revision {
			// The key was read after this change.
			continue
		}
		if earlier, ok := newest[e.Key]; ok && !earlier.Deleted && strings.HasPrefix(e.Key, platform.InstancePrefix) {
			superseded = append(superseded, earlier.Item)
		}
		newest[e.Key] = e
	}
	if len(superseded) > 0 && t.onSuperseded != nil {
		t.onSuperseded(superseded)
	}
	var written []store.Item
	var removed []string
	for key, e := range newest {
		if !e.Deleted {
			written = append(written, e.Item)
			delete(t.lapsed, key)
		} else if !t.keepLapsed(key, now) {
			removed = append(removed, key)
		}
	}
	t.publish(written, removed, events.Revision, max(events.Revision, t.view.leasedRevision), asOf, now)
	t.fresh.confirm(began)
}

// keepLapsed reports whether an entry that has disappeared is to be kept for now: after an outage of the
// store, the entry's lease may have ended although the instance lives. It
// records the key in lapsed, with the time until which the entry is kept. Only entries of instances
// are kept: what the operator removes takes effect at once, no election starts while the leader's
// key is in the view, and a VM without a registration stays a member while its reports arrive. Where the
// store came back from a copy that lacks registrations, these are kept too: without any, no VM would count
// as a hub. It must be called with the lock held.
func (t *tracker) keepLapsed(key string, now time.Time) bool {
	until := t.contact.keepUntil()
	switch {
	case strings.HasPrefix(key, platform.InstancePrefix):
		if t.departed != nil && t.departed(key) {
			return false
		}
	case strings.HasPrefix(key, vmPrefix):
		until = t.contact.keepRestoredUntil()
	default:
		return false
	}
	if until, ok := t.lapsed[key]; ok {
		return now.Before(until)
	}
	if !now.Before(until) {
		return false
	}
	t.lapsed[key] = until
	t.logKept(key, now, until)
	return true
}

// logKept logs that an entry that has disappeared is kept. It must be called with the lock held.
func (t *tracker) logKept(key string, now, until time.Time) {
	id, _ := platform.InstanceID(key)
	t.log.Info().Str("event", "entry_kept").Str("instance", id).Stringer("revision", t.view.items[key].Revision).Dur("kept_ms", until.Sub(now)).
		Dur("failed_ms", now.Sub(t.contact.failedAt)).Dur("age_ms", now.Sub(t.completeAt)).Send()
}

// publish applies changes to the view, which is complete as of a time, and calls onChange. It also removes the
// entries that were kept until the time recorded in lapsed. It must be called with the lock held.
func (t *tracker) publish(written []store.Item, removed []string, revision, leasedRevision store.Revision, asOf, now time.Time) {
	for key, until := range t.lapsed {
		if now.After(until) {
			removed = append(removed, key)
			delete(t.lapsed, key)
		}
	}
	if t.storeLost {
		t.storeLost = false
		t.log.Info().Str("event", "store_regained").Stringer("revision", revision).Send()
	}
	delta := t.view.apply(written, removed)
	if delta.older > 0 {
		t.log.Info().Str("event", "items_older").Int("count", delta.older).Stringer("revision", revision).Stringer("before", t.view.revision).Send()
	}
	t.view.revision, t.view.leasedRevision = revision, leasedRevision
	t.changes.record(delta)
	for _, key := range delta.changed {
		t.values.record(t.view.items[key])
	}
	if t.completeAt.IsZero() {
		close(t.firstView)
	}
	delta.from, delta.to = t.completeAt, asOf
	t.completeAt = asOf
	t.onChange(t.view, delta)
	t.stalls.recordNews(t.contact.completeAt)
}

func (t *tracker) recordFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact.recordFailure(time.Now())
	if !t.storeLost {
		t.storeLost = true
		t.log.Warn().Str("event", "store_lost").AnErr("cause", err).Stringer("revision", t.view.revision).
			Dur("age_ms", time.Since(t.completeAt)).Send()
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

// viewAge returns the time since the view was last known to be complete.
func (t *tracker) viewAge() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.completeAt)
}

// outageEnd returns when the last outage of the store ended in which leases of live instances may have ended,
// as this VM or its hubs saw it; zero if there was none. It must be called with the lock held, as it is in
// onChange.
func (t *tracker) outageEnd() time.Time { return later(t.contact.outageEnd, t.hubOutageEnd) }

// outageWithin reports whether such an outage ended within some time before now. It must be called with the
// lock held.
func (t *tracker) outageWithin(now time.Time, within time.Duration) bool {
	end := t.outageEnd()
	return !end.IsZero() && now.Sub(end) < within
}
