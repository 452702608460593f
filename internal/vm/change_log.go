package vm

import (
	"cmp"
	"slices"
)

// maxRemovals bounds the removed keys that are kept. A VM that has missed more gets the whole
// view.
const maxRemovals = 512

// changeLog numbers the changes of a view, so that other VMs can be sent only what they lack.
// The store's revisions cannot be used for this: a key that is kept for a while after the
// store has removed it changes here only later, when it leaves the view.
type changeLog struct {
	// number is the number of the newest change.
	number int64
	// lastChange is the number of the last change by key, writes the changes in their order. A
	// write that is not the last change of its key is outdated.
	lastChange map[string]int64
	writes     []keyChange
	removed    []keyChange
	// compactedNumber is the number up to which removals are no longer known.
	compactedNumber int64
	// nextChange is closed at the next change.
	nextChange chan struct{}
}

type keyChange struct {
	key    string
	number int64
}

func newChangeLog() *changeLog {
	return &changeLog{lastChange: make(map[string]int64), nextChange: make(chan struct{})}
}

// record adds a difference between two states of the view.
func (c *changeLog) record(d viewDelta) {
	if d.isEmpty() {
		return
	}
	c.number++
	for _, key := range d.changed {
		c.lastChange[key] = c.number
		c.writes = append(c.writes, keyChange{key, c.number})
	}
	for _, key := range d.removed {
		delete(c.lastChange, key)
		c.removed = append(c.removed, keyChange{key, c.number})
	}
	c.compact()
	close(c.nextChange)
	c.nextChange = make(chan struct{})
}

// minWriteLog is the number of writes that are kept in any case.
const minWriteLog = 64

func (c *changeLog) compact() {
	if len(c.writes) > 2*len(c.lastChange)+minWriteLog {
		c.writes = slices.DeleteFunc(c.writes, c.outdated)
	}
	if excess := len(c.removed) - maxRemovals; excess > 0 {
		c.compactedNumber = c.removed[excess-1].number
		c.removed = c.removed[excess:]
	}
}

func (c *changeLog) outdated(w keyChange) bool { return c.lastChange[w.key] != w.number }

// since returns the keys that have changed and those that were removed since a change number.
// It returns false if these are no longer known, so that the whole view has to be sent.
func (c *changeLog) since(number int64) (changed, removed []string, known bool) {
	if number <= 0 || number < c.compactedNumber || number > c.number {
		return nil, nil, false
	}
	for _, w := range after(c.writes, number) {
		if !c.outdated(w) {
			changed = append(changed, w.key)
		}
	}
	for _, r := range after(c.removed, number) {
		if _, present := c.lastChange[r.key]; !present {
			removed = append(removed, r.key)
		}
	}
	return changed, removed, true
}

// after returns the changes with higher numbers than the given one.
func after(changes []keyChange, number int64) []keyChange {
	first, _ := slices.BinarySearchFunc(changes, number+1, func(c keyChange, n int64) int { return cmp.Compare(c.number, n) })
	return changes[first:]
}
