package document

import "fmt"

// memory refuses what no placement can hold, by sums alone: a sum costs next to
// nothing at every VM that reads the document. Whether a placement exists is for
// package placement to find before a document is accepted.
func (c *checker) memory() {
	if len(c.doc.Models) == 0 {
		return
	}
	needed := c.doc.needs()
	room, widest := c.doc.room()
	if needed.total() > room.total() {
		c.fail("models", ErrDoesNotFit, "%s; there is: %s", needed, room)
	}
	for i, m := range c.doc.Models {
		if m.Memory > widest {
			c.fail(fmt.Sprintf("models[%d].memory", i), ErrDoesNotFit, "%s in one engine: the largest holds %s", gib(m.Memory), gib(widest))
		}
	}
}

// needs is the memory of the least number of copies.
type needs struct{ models, adapters Bytes }

func (n needs) total() Bytes { return n.models + n.adapters }

// String shows the sum, so that an operator sees what to change.
func (n needs) String() string {
	return fmt.Sprintf("needed: models %s + adapters %s = %s", gib(n.models), gib(n.adapters), gib(n.total()))
}

// room is the memory for weights.
type room struct{ engines, reserve Bytes }

func (r room) total() Bytes { return r.engines - r.reserve }

// String shows the difference.
func (r room) String() string {
	return fmt.Sprintf("engines %s - KV cache reserve %s = %s", gib(r.engines), gib(r.reserve), gib(r.total()))
}

func gib(b Bytes) string {
	return fmt.Sprintf("%.2fGiB", float64(b)/float64(GiB))
}

func (d *Document) needs() needs {
	var n needs
	for _, m := range d.Models {
		n.models += m.Memory * Bytes(m.Replicas)
		for _, a := range m.Adapters {
			n.adapters += a.Memory
		}
	}
	return n
}

// room returns the memory for weights of all engines and of the largest one.
func (d *Document) room() (r room, widest Bytes) {
	for _, e := range d.Engines {
		r.engines += e.Memory
		r.reserve += e.KVCacheReserve
		widest = max(widest, e.Memory-e.KVCacheReserve)
	}
	return r, widest
}
