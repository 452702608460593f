package vm

import "github.com/chestnutarch/chestnutarch/internal/store"

// maxRemovals bounds the removed keys that are kept. A VM that has missed more gets the whole
// view.
const maxRemovals = 512

// changeLog numbers the changes of a view, so that other VMs can be sent only what they lack.
// The store's revisions cannot be used for this: a key that is kept for a while after the
// store has removed it changes here only later, when it leaves the view.
type changeLog struct {
	// number is the number of the newest change.
	number int64
	// lastChange is the number of the last change by key.
	lastChange map[string]int64
	removed    []removal
	// compactedNumber is the number up to which removals are no longer known.
	compactedNumber int64
	// nextChange is closed at the next change.
	nextChange chan struct{}
}

type removal struct {
	key    string
	number int64
}

func newChangeLog() *changeLog {
	return &changeLog{lastChange: make(map[string]int64), nextChange: make(chan struct{})}
}

// record adds the difference between two states of the view.
func (c *changeLog) record(old, next map[string]store.Item) {
	number, changed := c.number+1, false
	for key, item := range next {
		if before, ok := old[key]; !ok || before.Revision != item.Revision {
			c.lastChange[key], changed = number, true
		}
	}
	for key := range old {
		if _, ok := next[key]; !ok {
			delete(c.lastChange, key)
			c.removed, changed = append(c.removed, removal{key, number}), true
		}
	}
	if !changed {
		return
	}
	c.number = number
	c.compact()
	close(c.nextChange)
	c.nextChange = make(chan struct{})
}

func (c *changeLog) compact() {
	if excess := len(c.removed) - maxRemovals; excess > 0 {
		c.compactedNumber = c.removed[excess-1].number
		c.removed = c.removed[excess:]
	}
}

// since returns the keys that have changed and those that were removed since a change number.
// It returns false if these are no longer known, so that the whole view has to be sent.
func (c *changeLog) since(number int64) (changed, removed []string, known bool) {
	if number <= 0 || number < c.compactedNumber || number > c.number {
		return nil, nil, false
	}
	for key, at := range c.lastChange {
		if at > number {
			changed = append(changed, key)
		}
	}
	for _, r := range c.removed {
		if _, present := c.lastChange[r.key]; !present && r.number > number {
			removed = append(removed, r.key)
		}
	}
	return changed, removed, true
}
