package order

import "bytes"

// register tracks the value of one key of the key-value service, also when results of
// its reads and writes are lost.
type register struct {
	key      string
	loaded   bool
	reading  bool
	revision int64
	value    []byte
	// pending is the write whose outcome is not known yet, or nil.
	pending *Write
	// inFlight is true while the result of pending is awaited.
	inFlight bool
}

// idle reports whether the value is known and no write is pending.
func (r *register) idle() bool {
	return r.loaded && r.pending == nil
}

// next returns the action that is needed to learn the value or the outcome of the
// pending write, if there is one.
func (r *register) next() (Action, bool) {
	switch {
	case r.reading || r.inFlight:
		return nil, false
	case !r.loaded:
		r.reading = true
		return Read{Key: r.key}, true
	case r.pending != nil:
		// The outcome was unknown and a later read returned the old value.
		// Repeating the write is safe: at most one of the two can find the
		// expected revision.
		r.inFlight = true
		return *r.pending, true
	}
	return nil, false
}

// write starts a compare-and-swap of the known value.
func (r *register) write(value []byte) Write {
	w := Write{Key: r.key, Expected: r.revision, Value: value}
	r.pending = &w
	r.inFlight = true
	return w
}

// readDone records the result of a read. With ok false nothing was learned. A write whose
// outcome was unknown is recognised by its value, which no other write can have.
func (r *register) readDone(s Stored, ok bool) {
	r.reading = false
	if !ok {
		return
	}
	r.loaded = true
	r.revision = s.Revision
	r.value = s.Value
	if r.pending == nil {
		return
	}
	if bytes.Equal(s.Value, r.pending.Value) || s.Revision != r.pending.Expected {
		r.pending = nil
	}
}

// written records the outcome of a write. Current is the conflicting value, if known.
func (r *register) written(outcome WriteOutcome, revision int64, current *Stored) {
	r.inFlight = false
	switch {
	case r.pending == nil:
		r.loaded = false
	case outcome == TookEffect:
		r.value = r.pending.Value
		r.revision = revision
		r.pending = nil
	case outcome == NoEffect && current != nil:
		r.readDone(*current, true)
	default:
		r.loaded = false
	}
}
