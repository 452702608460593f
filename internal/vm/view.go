package vm

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/store"
)

// view is the state of the store as this VM knows it.
type view struct {
	items map[string]store.Item
	// revision is the revision of the store up to which the items contain all changes, leasedRevision the
	// same for the keys under leases, which are also read by themselves.
	revision, leasedRevision store.Revision
}

// viewDelta is the difference between two views: the keys that were added or have another revision,
// and those that are gone. Neither list names a key twice. older counts the items that were not written
// because the view has a later revision of their keys. from and to are the times as of which the views are known to be
// complete.
type viewDelta struct {
	changed, removed []string
	older            int
	from, to         time.Time
}

func (d viewDelta) isEmpty() bool { return len(d.changed) == 0 && len(d.removed) == 0 }

// touches reports whether the difference contains a key with a prefix.
func (d viewDelta) touches(prefix string) bool {
	hasPrefix := func(key string) bool { return strings.HasPrefix(key, prefix) }
	return slices.ContainsFunc(d.changed, hasPrefix) || slices.ContainsFunc(d.removed, hasPrefix)
}

// apply writes items, removes keys, and returns the difference. A key that is written and removed
// is removed. An item that is older than the view's is not written: entries may have been read after
// the revision of a hub's view.
func (v *view) apply(written []store.Item, removed []string) viewDelta {
	var delta viewDelta
	gone := make(map[string]bool, len(removed))
	for _, key := range removed {
		if _, ok := v.items[key]; ok {
			delete(v.items, key)
			delta.removed = append(delta.removed, key)
		}
		gone[key] = true
	}
	for _, item := range written {
		before, ok := v.items[item.Key]
		if ok && before.Revision > item.Revision {
			delta.older++
		}
		if gone[item.Key] || (ok && before.Revision >= item.Revision) {
			continue
		}
		v.items[item.Key] = item
		delta.changed = append(delta.changed, item.Key)
	}
	return delta
}

// missingFrom returns the keys of the view that are not among the items.
func (v *view) missingFrom(items []store.Item) []string {
	named := make(map[string]bool, len(items))
	for _, item := range items {
		named[item.Key] = true
	}
	var out []string
	for key := range v.items {
		if !named[key] {
			out = append(out, key)
		}
	}
	return out
}

// itemsOf returns the items of the given keys.
func (v *view) itemsOf(keys []string) []store.Item {
	items := make([]store.Item, 0, len(keys))
	for _, key := range keys {
		items = append(items, v.items[key])
	}
	return items
}
