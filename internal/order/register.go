package order

import "bytes"

// register follows one key of the key-value service through lost answers.
type register struct {
	key      string
	read     bool
	reading  bool
	revision int64
	value    []byte
	// pending is the write whose outcome is not known yet.
	pending *Write
	// inFlight says that the answer to pending may still come.
	inFlight bool
}

// idle says whether the value is known and nothing is under way.
func (r *register) idle() bool {
	return r.read && r.pending == nil
}

// next returns the action that the register itself needs.
func (r *register) next() (Action, bool) {
	switch {
	case r.reading || r.inFlight:
		return nil, false
	case !r.read:
		r.reading = true
		return Read{Key: r.key}, true
	case r.pending != nil:
		// The outcome was unknown and the value read since was the old one.
		// The same write again is safe: at most one of the two can find the
		// expected revision.
		r.inFlight = true
		return *r.pending, true
	}
	return nil, false
}

func (r *register) write(value []byte) Write {
	w := Write{Key: r.key, Expected: r.revision, Value: value}
	r.pending = &w
	r.inFlight = true
	return w
}

// readDone takes a value in. A write whose answer was lost is recognised by its
// value, which no other write can have.
func (r *register) readDone(s Stored, ok bool) {
	r.reading = false
	if !ok {
		return
	}
	r.read = true
	r.revision = s.Revision
	r.value = s.Value
	if r.pending == nil {
		return
	}
	if bytes.Equal(s.Value, r.pending.Value) || s.Revision != r.pending.Expected {
		r.pending = nil
	}
}

// written takes the outcome of a write in.
func (r *register) written(outcome WriteOutcome, revision int64, current *Stored) {
	r.inFlight = false
	switch {
	case r.pending == nil:
		r.read = false
	case outcome == TookEffect:
		r.value = r.pending.Value
		r.revision = revision
		r.pending = nil
	case outcome == DidNot && current != nil:
		r.readDone(*current, true)
	default:
		r.read = false
	}
}
