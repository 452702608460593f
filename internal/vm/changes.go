package vm

import "github.com/chestnutarch/chestnutarch/internal/store"

// maxRemovals bounds the keys remembered that are gone. A VM that has missed more is told
// everything.
const maxRemovals = 512

// changes numbers what changes in a view, so that other VMs can be told just what is new
// to them. A key that is kept for a while after the store has dropped it changes here when
// the view gives it up, which the store's own revisions would not tell.
type changes struct {
	// number is that of the newest change.
	number int64
	// at is the number of the last change by key.
	at      map[string]int64
	removed []removal
	// forgotten is the number up to which removals are not remembered.
	forgotten int64
	// fresh is closed at the next change.
	fresh chan struct{}
}

type removal struct {
	key    string
	number int64
}

func newChanges() *changes {
	return &changes{at: make(map[string]int64), fresh: make(chan struct{})}
}

// note takes in the difference between two states of the view.
func (c *changes) note(old, next map[string]store.Item) {
	number, changed := c.number+1, false
	for key, item := range next {
		if before, ok := old[key]; !ok || before.Revision != item.Revision {
			c.at[key], changed = number, true
		}
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			delete(c.at, key)
			c.removed, changed = append(c.removed, removal{key, number}), true
		}
	}
	if !changed {
		return
	}
	c.number = number
	c.forgetRemovals()
	close(c.fresh)
	c.fresh = make(chan struct{})
}

func (c *changes) forgetRemovals() {
	if excess := len(c.removed) - maxRemovals; excess > 0 {
		c.forgotten = c.removed[excess-1].number
		c.removed = c.removed[excess:]
	}
}

// since returns the keys that have changed and those that are gone since a change. It
// returns false if that is not known: everything has to be told.
func (c *changes) since(number int64) (changed, removed []string, known bool) {
	if number <= 0 || number < c.forgotten || number > c.number {
		return nil, nil, false
	}
	for key, at := range c.at {
		if at > number {
			changed = append(changed, key)
		}
	}
	for _, r := range c.removed {
		if _, back := c.at[r.key]; !back && r.number > number {
			removed = append(removed, r.key)
		}
	}
	return changed, removed, true
}
