package admit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// entry is a request in a heap.
type entry struct {
	Request
	seq   uint64
	index int
}

// team holds one team's requests.
type team struct {
	name    string
	weight  float64
	virtual float64
	count   int
	fifo    bool
	classes map[string]*class
}

// class is a heap of the requests that need the same upstreams.
type class struct {
	entries []*entry
	fifo    bool
}

// Len, Less, Swap, Push and Pop are those of container/heap.
func (c *class) Len() int { return len(c.entries) }

// Less puts the earliest deadline first, and the earlier arrival among equals.
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

// late returns the entries that cannot be done in time any more, in the order in
// which they came.
func (t *team) late(now time.Time) []*entry {
	var out []*entry
	for _, c := range t.classes {
		for _, e := range c.entries {
			if e.Request.late(now) {
				out = append(out, e)
			}
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// head returns the first entry of the classes that can run. The classes are
// asked about in the order of their entries, so that a choice which draws random
// numbers on the way can be repeated.
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
