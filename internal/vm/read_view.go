package vm

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform"
)

// This file holds the reads of the store by which a VM gets its first view, or gets it again.

const (
	// maxJoinAttempts is how often a VM that starts looks for a hub to follow, joinPause the time
	// between two attempts: VMs that start together register within some hundred milliseconds.
	maxJoinAttempts = 4
	joinPause       = 250 * time.Millisecond
)

// readFirst gets the first view: from a hub, if there are so many VMs that there is one, or from the
// store. Hundreds of VMs that start together would need the whole width of the store's link for many
// seconds if each read all keys itself.
func (t *tracker) readFirst(ctx context.Context) error {
	for range maxJoinAttempts {
		if err := t.listMembers(ctx); err != nil {
			return err
		}
		hub, ok := t.usableHub(time.Now())
		if !ok {
			break
		}
		t.followHub(ctx, hub)
		if ctx.Err() != nil {
			return nil
		}
		if t.viewRevision() > 0 {
			return t.listUnlessFollowing(ctx)
		}
		sleep(ctx, joinPause)
	}
	return t.listAll(ctx)
}

// listMembers reads the keys of this project, which tell the hubs.
func (t *tracker) listMembers(ctx context.Context) error {
	if t.hubClient.setMembers == nil {
		return nil
	}
	listing, err := t.store.Range(ctx, projectPrefix)
	if err != nil {
		return err
	}
	members := make(map[string]store.Item, len(listing.Items))
	for _, item := range listing.Items {
		members[item.Key] = item
	}
	t.hubClient.setMembers(members)
	return nil
}

// listUnlessFollowing reads the leased keys after this VM has followed a hub, unless it can follow another.
func (t *tracker) listUnlessFollowing(ctx context.Context) error {
	if _, ok := t.usableHub(time.Now()); ok {
		return nil
	}
	return t.listLeased(ctx)
}

// listAll reads all keys. An entry of the view that is missing from the listing was deleted while
// this VM did not watch.
func (t *tracker) listAll(ctx context.Context) error {
	began := time.Now()
	listing, err := t.store.Range(ctx, "")
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if listing.Revision.Era() < t.view.revision.Era() {
		return errors.Wrapf(store.ErrRestored, "listing of revision %v after revision %v", listing.Revision, t.view.revision)
	}
	t.replaceView(listing.Items, listing.Revision, listing.Revision, began)
	return nil
}

// listLeased reads the keys that are bound to leases, after this VM has followed a hub: the hub's
// view may have held keys that the store had already dropped. A watch from the view's revision
// returns the changes of all other keys. They are not read, because all VMs behind a lost hub do
// this at the same time, and the configuration is most of what the store holds.
func (t *tracker) listLeased(ctx context.Context) error {
	began := time.Now()
	var items []store.Item
	revision := store.Revision(math.MaxInt64)
	for _, prefix := range leasedPrefixes {
		listing, err := t.store.Range(ctx, prefix)
		if err != nil {
			return err
		}
		if listing.Revision.Era() != t.viewRevision().Era() {
			// The changes of the other keys since the view's revision cannot be had any more.
			return t.listAll(ctx)
		}
		items = append(items, listing.Items...)
		revision = min(revision, listing.Revision)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range t.view.items {
		if !isLeased(item.Key) {
			items = append(items, item)
		}
	}
	// replaceView sets completeAt to now, but the keys that were not read may be outdated.
	completeAt := t.completeAt
	t.replaceView(items, t.view.revision, revision, began)
	t.completeAt = completeAt
	return nil
}

// leasedPrefixes are the prefixes of keys that the store drops when their leases end.
var leasedPrefixes = []string{platform.InstancePrefix, projectPrefix}

func isLeased(key string) bool {
	return slices.ContainsFunc(leasedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
