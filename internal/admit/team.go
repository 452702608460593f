package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// entry is a request in the heap of its class.
type entry struct {
	Request
	seq   uint64
	index int
}

// team holds one team's queued requests and its virtual time.
type team struct {
	name        string
	weight      float64
	virtualTime float64
	count       int
	fifo        bool
	classes     map[string]*class
}

// class is a heap of a team's requests that need the same upstreams.
type class struct {
	entries []*entry
	fifo    bool
}

// Len is part of heap.Interface.
func (c *class) Len() int { return len(c.entries) }

// Less orders entries by deadline, and by arrival among equal deadlines or if the class
// is first come, first served.
func (c *class) Less(i, j int) bool {
	return compareEntries(c.entries[i], c.entries[j], c.fifo) < 0
}

// Swap is part of heap.Interface.
func (c *class) Swap(i, j int) {
	c.entries[i], c.entries[j] = c.entries[j], c.entries[i]
	c.entries[i].index = i
	c.entries[j].index = j
}

// Push is part of heap.Interface.
func (c *class) Push(x any) {
	e := x.(*entry)
	e.index = len(c.entries)
	c.entries = append(c.entries, e)
}

// Pop is part of heap.Interface.
func (c *class) Pop() any {
	last := len(c.entries) - 1
	e := c.entries[last]
	c.entries[last] = nil
	c.entries = c.entries[:last]
	return e
}

func compareEntries(a, b *entry, fifo bool) int {
	if !fifo {
		if order := a.Deadline.Compare(b.Deadline); order != 0 {
			return order
		}
	}
	return cmp.Compare(a.seq, b.seq)
}

func (t *team) add(e *entry) {
	c := t.classes[e.Class]
	if c == nil {
		c = &class{fifo: t.fifo}
		t.classes[e.Class] = c
	}
	heap.Push(c, e)
	t.count++
}

func (t *team) remove(e *entry) {
	c := t.classes[e.Class]
	heap.Remove(c, e.index)
	t.count--
	if len(c.entries) == 0 {
		delete(t.classes, e.Class)
	}
}

func (t *team) find(id uint64) *entry {
	for _, c := range t.classes {
		for _, e := range c.entries {
			if e.ID == id {
				return e
			}
		}
	}
	return nil
}

// last returns the entry that would be served last.
func (t *team) last() *entry {
	var last *entry
	for _, c := range t.classes {
		for _, e := range c.entries {
			if last == nil || compareEntries(e, last, c.fifo) > 0 {
				last = e
			}
		}
	}
	return last
}

// lateEntries returns the entries that can no longer meet their deadlines, in order of
// arrival.
func (t *team) lateEntries(now time.Time) []*entry {
	var late []*entry
	for _, c := range t.classes {
		for _, e := range c.entries {
			if e.Request.isLate(now) {
				late = append(late, e)
			}
		}
	}
	slices.SortFunc(late, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return late
}

// head returns the first entry among the classes that can run. canRun is called for the
// classes in the order of their first entries, so that a canRun that draws random
// numbers gives reproducible results.
func (t *team) head(canRun func(class string) bool) *entry {
	heads := make([]*entry, 0, len(t.classes))
	for _, c := range t.classes {
		heads = append(heads, c.entries[0])
	}
	slices.SortFunc(heads, func(a, b *entry) int { return compareEntries(a, b, t.fifo) })
	for _, e := range heads {
		if canRun(e.Class) {
			return e
		}
	}
	return nil
}
