package relay

import "sync"

// registry holds the streams that this VM reads, by ID.
type registry struct {
	mu   sync.Mutex
	open map[string]*reading
}

// reading is one reading of a stream.
type reading struct {
	end func()
}

func newRegistry() *registry {
	return &registry{open: make(map[string]*reading)}
}

// add notes a stream with the function that ends its reading. A reading that was
// there before is ended: the caller has come back before he was missed.
func (r *registry) add(id string, end func()) *reading {
	this := &reading{end: end}
	r.mu.Lock()
	before := r.open[id]
	r.open[id] = this
	r.mu.Unlock()
	if before != nil {
		before.end()
	}
	return this
}

// remove forgets a reading, unless another one has taken its place.
func (r *registry) remove(id string, this *reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[id] == this {
		delete(r.open, id)
	}
}

// release ends the reading of a stream.
func (r *registry) release(id string) bool {
	r.mu.Lock()
	this := r.open[id]
	delete(r.open, id)
	r.mu.Unlock()
	if this == nil {
		return false
	}
	this.end()
	return true
}
