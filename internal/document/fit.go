package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// memory refuses a set of models that no placement was found for. Accepted, it
// would leave the planner to choose which model callers cannot reach.
func (c *checker) memory() {
	if len(c.doc.Models) == 0 {
		return
	}
	if len(c.doc.Engines) == 0 {
		c.fail("engines", ErrDoesNotFit, "%d models and no engine", len(c.doc.Models))
		return
	}
	if failed := c.doc.fit(); failed != nil {
		c.fail("models", ErrDoesNotFit, "%s", failed)
	}
}

// misfit is the arithmetic of a set that does not fit.
type misfit struct {
	model    string
	reason   string
	needed   Bytes
	weights  Bytes
	adapters Bytes
	total    Bytes
	reserve  Bytes
}

// String shows the sums, so that an operator sees what to change.
func (m *misfit) String() string {
	var b strings.Builder
	if m.model != "" {
		fmt.Fprintf(&b, "%s: %s; ", m.model, m.reason)
	}
	fmt.Fprintf(&b, "needed: models %s + adapters %s = %s; there is: engines %s - KV cache reserve %s = %s",
		gib(m.weights), gib(m.adapters), gib(m.needed), gib(m.total), gib(m.reserve), gib(m.total-m.reserve))
	return b.String()
}

func gib(b Bytes) string {
	return fmt.Sprintf("%.2fGiB", float64(b)/float64(GiB))
}

// sums adds up what is needed and what there is.
func (d *Document) sums() *misfit {
	m := new(misfit)
	for _, model := range d.Models {
		m.weights += model.Memory * Bytes(model.Replicas)
		for _, a := range model.Adapters {
			m.adapters += a.Memory
		}
	}
	m.needed = m.weights + m.adapters
	for _, e := range d.Engines {
		m.total += e.Memory
		m.reserve += e.KVCacheReserve
	}
	return m
}

// fit looks for one placement of the least number of copies. It returns nil if
// there is one. The search tries the emptiest and the fullest engine first;
// a set that fits only by a cleverer packing is refused, since it would leave
// no room to move anything.
func (d *Document) fit() *misfit {
	sums := d.sums()
	if sums.needed > sums.total-sums.reserve {
		return sums
	}
	model, reason := d.pack(emptiestFirst)
	if reason == "" {
		return nil
	}
	if _, second := d.pack(fullestFirst); second == "" {
		return nil
	}
	sums.model = model
	sums.reason = reason
	return sums
}

type bin struct {
	name string
	free Bytes
}

func emptiestFirst(a, b *bin) int {
	return cmp.Or(cmp.Compare(b.free, a.free), strings.Compare(a.name, b.name))
}

func fullestFirst(a, b *bin) int {
	return cmp.Or(cmp.Compare(a.free, b.free), strings.Compare(a.name, b.name))
}

// pack places the models from the largest to the smallest. It returns the
// model that found no room and why, or an empty reason.
func (d *Document) pack(order func(a, b *bin) int) (model, reason string) {
	bins := make([]*bin, 0, len(d.Engines))
	for _, e := range d.Engines {
		bins = append(bins, &bin{name: e.Name, free: e.Memory - e.KVCacheReserve})
	}
	models := slices.Clone(d.Models)
	slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(b.footprint(), a.footprint()) })
	for _, m := range models {
		if reason := placeModel(m, bins, order); reason != "" {
			return m.Name, reason
		}
	}
	return "", ""
}

// footprint is the memory of one copy with all of its adapters.
func (m Model) footprint() Bytes {
	sum := m.Memory
	for _, a := range m.Adapters {
		sum += a.Memory
	}
	return sum
}

// placeModel puts the copies on different engines and each adapter beside one
// of them. Adapters that find no room beside a copy get a further copy.
func placeModel(m Model, bins []*bin, order func(a, b *bin) int) string {
	slices.SortFunc(bins, order)
	adapters := slices.Clone(m.Adapters)
	slices.SortStableFunc(adapters, func(a, b Adapter) int { return cmp.Compare(b.Memory, a.Memory) })
	copies := 0
	for _, b := range bins {
		if copies >= m.Replicas && len(adapters) == 0 {
			break
		}
		least := m.Memory
		if copies >= m.Replicas {
			least += adapters[len(adapters)-1].Memory
		}
		if b.free < least {
			continue
		}
		b.free -= m.Memory
		copies++
		adapters = slices.DeleteFunc(adapters, func(a Adapter) bool {
			if a.Memory > b.free {
				return false
			}
			b.free -= a.Memory
			return true
		})
	}
	switch {
	case copies < m.Replicas:
		return fmt.Sprintf("%d of %d copies of %s each found room", copies, m.Replicas, gib(m.Memory))
	case len(adapters) > 0:
		return fmt.Sprintf("%d of %d adapters found no room beside a copy", len(adapters), len(m.Adapters))
	}
	return ""
}
