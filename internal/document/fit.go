package document

import "fmt"

// checkMemory refuses documents that no placement can satisfy, by sums only: a sum
// is cheap at every VM that parses the document. Package placement checks whether a
// placement exists, before a document is accepted.
func (c *checker) checkMemory() {
	if len(c.doc.Models) == 0 {
		return
	}
	demand := c.doc.memoryDemand()
	capacity, largest := c.doc.memoryCapacity()
	if demand.total() > capacity.total() {
		c.fail("models", ErrDoesNotFit, "%s; there is: %s", demand, capacity)
	}
	for i, m := range c.doc.Models {
		if m.Memory > largest {
			c.fail(fmt.Sprintf("models[%d].memory", i), ErrDoesNotFit, "%s in one engine: the largest holds %s", formatGiB(m.Memory), formatGiB(largest))
		}
	}
}

// memoryDemand is the memory of the minimum number of copies of all models, and of
// their adapters.
type memoryDemand struct{ models, adapters Bytes }

func (n memoryDemand) total() Bytes { return n.models + n.adapters }

// String formats the demand with its terms, so that operators see what to change.
func (n memoryDemand) String() string {
	return fmt.Sprintf("needed: models %s + adapters %s = %s", formatGiB(n.models), formatGiB(n.adapters), formatGiB(n.total()))
}

// memoryCapacity is the memory of engines and the part of it that is reserved for the
// KV cache. The difference is available for weights.
type memoryCapacity struct{ engines, reserve Bytes }

func (r memoryCapacity) total() Bytes { return r.engines - r.reserve }

// String formats the capacity with its terms.
func (r memoryCapacity) String() string {
	return fmt.Sprintf("engines %s - KV cache reserve %s = %s", formatGiB(r.engines), formatGiB(r.reserve), formatGiB(r.total()))
}

func formatGiB(b Bytes) string {
	return fmt.Sprintf("%.2fGiB", float64(b)/float64(GiB))
}

func (d *Document) memoryDemand() memoryDemand {
	var n memoryDemand
	for _, m := range d.Models {
		n.models += m.Memory * Bytes(m.Replicas)
		for _, a := range m.Adapters {
			n.adapters += a.Memory
		}
	}
	return n
}

// memoryCapacity returns the capacity of all engines, and the memory for weights of
// the engine that has most of it.
func (d *Document) memoryCapacity() (r memoryCapacity, largest Bytes) {
	for _, e := range d.Engines {
		r.engines += e.Memory
		r.reserve += e.KVCacheReserve
		largest = max(largest, e.Memory-e.KVCacheReserve)
	}
	return r, largest
}
