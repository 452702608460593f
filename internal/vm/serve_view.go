package vm

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

// This file is the hub's side of following: what of its view it sends to whom. follow.go is the other side.

// answerFollow answers the request of a VM that follows this one.
func (t *tracker) answerFollow(ctx context.Context, incarnation int64, in *peerpb.FollowRequest) (*peerpb.FollowResponse, error) {
	since := in.Change
	if in.Incarnation != incarnation {
		since = 0
	}
	if err := t.awaitView(ctx); err != nil {
		return nil, err
	}
	t.awaitChange(ctx, since)
	var packed *snapshot
	if in.ReadsPacked && !t.knowsChangesSince(since) {
		packed = t.snapshots.get(t.isRecent, t.smallItems)
	}
	out, items, err := t.changesSince(incarnation, since, packed)
	if err != nil {
		return nil, err
	}
	if in.ReadsPacked && !out.Whole {
		out.Packed, items = t.deltas.pack(since, out.Change, items)
	}
	for _, item := range items {
		out.Items = append(out.Items, t.values.itemFor(item, store.Revision(in.Held[item.Key])))
	}
	return out, nil
}

func (t *tracker) knowsChangesSince(change int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes.knows(change)
}

// isRecent reports whether few keys have changed since a change number.
func (t *tracker) isRecent(change int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed, removed, known := t.changes.since(change)
	return known && float64(len(changed)+len(removed)) <= maxSnapshotChanges*float64(len(t.view.items))
}

// smallItems returns the items of the view without the large ones, and the number of its newest change.
func (t *tracker) smallItems() ([]store.Item, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	items := make([]store.Item, 0, len(t.view.items))
	for _, i := range t.view.items {
		if !isLarge(i) {
			items = append(items, i)
		}
	}
	return items, t.changes.number
}

// changesSince returns the changes of the view since a change number, or the whole view if they are not
// known; packed, unless nil, then holds a part of it. The changed items are returned separately and are not
// yet part of the message.
func (t *tracker) changesSince(incarnation, since int64, packed *snapshot) (*peerpb.FollowResponse, []store.Item, error) {
	serves := t.isHub()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.watching && !serves {
		return nil, nil, errors.WithStack(ErrNotWatching)
	}
	out := &peerpb.FollowResponse{
		Incarnation: incarnation, Change: t.changes.number, Revision: int64(t.view.revision),
		AgeMs: time.Since(t.completeAt).Milliseconds(), FailedMs: -1,
	}
	if end := t.outageEnd(); !end.IsZero() {
		out.FailedMs = time.Since(end).Milliseconds()
	}
	if changed, removed, known := t.changes.since(since); known {
		out.Removed = removed
		return out, t.view.itemsOf(changed), nil
	}
	out.Whole = true
	if packed == nil {
		return out, slices.Collect(maps.Values(t.view.items)), nil
	}
	changed, removed, known := t.changes.since(packed.change)
	if !known {
		return out, slices.Collect(maps.Values(t.view.items)), nil
	}
	out.Packed, out.Removed = packed.packed, removed
	for key, i := range t.view.items {
		if isLarge(i) && !slices.Contains(changed, key) {
			changed = append(changed, key)
		}
	}
	return out, t.view.itemsOf(changed), nil
}

// isHub reports whether this VM is a hub.
func (t *tracker) isHub() bool { return t.hubClient.isHub != nil && t.hubClient.isHub() }

// awaitView waits for the first view of a hub: all VMs of a domain may start together, and if the hub
// refused those that are faster than itself, they would read the store. It returns ErrNotWatching if this
// VM does not serve a view.
func (t *tracker) awaitView(ctx context.Context) error {
	serves := t.isHub()
	t.mu.Lock()
	serves = serves || t.watching
	t.mu.Unlock()
	if !serves {
		return errors.WithStack(ErrNotWatching)
	}
	select {
	case <-t.firstView:
		return nil
	default:
	}
	select {
	case <-t.firstView:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

// awaitChange returns when the view has changed since a change number, or after followWait.
func (t *tracker) awaitChange(ctx context.Context, since int64) {
	t.mu.Lock()
	nextChange, upToDate := t.changes.nextChange, since == t.changes.number
	t.mu.Unlock()
	if !upToDate {
		return
	}
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	select {
	case <-nextChange:
	case <-timer.C:
	case <-ctx.Done():
	}
}
