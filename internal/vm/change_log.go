package vm

import "github.com/chestnutarch/chestnutarch/internal/changelog"

// maxRemovals bounds the removed keys that are kept. A VM that has missed more gets the whole
// view.
const maxRemovals = 512

// changeLog numbers the changes of a view, so that other VMs can be sent only what they lack.
// The store's revisions cannot be used for this: a key that is kept for a while after the
// store has removed it changes here only later, when it leaves the view.
type changeLog struct {
	// number is the number of the newest change.
	number int64
	// written holds the keys of the view, removed those that left it lately.
	written, removed *changelog.Log[string]
	// compactedNumber is the number up to which removals are no longer known.
	compactedNumber int64
	// nextChange is closed at the next change.
	nextChange chan struct{}
}

func newChangeLog() *changeLog {
	return &changeLog{written: changelog.New[string](), removed: changelog.New[string](), nextChange: make(chan struct{})}
}

// record adds a difference between two states of the view.
func (c *changeLog) record(d viewDelta) {
	if d.isEmpty() {
		return
	}
	for _, key := range d.changed {
		c.number++
		c.written.Record(key, uint64(c.number))
		c.removed.Remove(key)
	}
	for _, key := range d.removed {
		c.number++
		c.written.Remove(key)
		c.removed.Record(key, uint64(c.number))
	}
	c.compact()
	close(c.nextChange)
	c.nextChange = make(chan struct{})
}

// compact drops the oldest removals beyond maxRemovals.
func (c *changeLog) compact() {
	excess := c.removed.Len() - maxRemovals
	if excess <= 0 {
		return
	}
	var oldest []string
	c.removed.Since(0, func(key string, number uint64) bool {
		oldest = append(oldest, key)
		c.compactedNumber = int64(number)
		return len(oldest) < excess
	})
	for _, key := range oldest {
		c.removed.Remove(key)
	}
}

// since returns the keys that have changed and those that were removed since a change number.
// It returns false if these are no longer known, so that the whole view has to be sent.
func (c *changeLog) since(number int64) (changed, removed []string, known bool) {
	if !c.knows(number) {
		return nil, nil, false
	}
	list := func(l *changelog.Log[string]) (keys []string) {
		l.Since(uint64(number), func(key string, _ uint64) bool {
			keys = append(keys, key)
			return true
		})
		return keys
	}
	return list(c.written), list(c.removed), true
}

// knows reports whether all changes since a change number are known.
func (c *changeLog) knows(number int64) bool {
	return number > 0 && number >= c.compactedNumber && number <= c.number
}
