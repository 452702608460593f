package claim

import (
	"slices"
	"time"
)

// plan settles the operations that what is known decides, and returns the call
// that the others need.
func (l *Log) plan(now time.Time) ([]Verdict, *Call) {
	if len(l.ops) == 0 {
		return nil, nil
	}
	if call := l.load(); call != nil {
		return nil, call
	}
	verdicts, refresh := l.settle()
	if refresh != nil {
		return verdicts, refresh
	}
	if len(l.ops) == 0 {
		return verdicts, nil
	}
	if call := l.change(); call != nil {
		return verdicts, call
	}
	more, call := l.add(now)
	return append(verdicts, more...), call
}

// load reads what has to be known before a key can be said to have no claim: all
// slots, and again those that are out of date.
func (l *Log) load() *Call {
	for i := range l.slots {
		if !l.slots[i].loaded {
			return l.read(i)
		}
	}
	newest := l.newest()
	oldest := max(1, newest-int64(len(l.slots))+1)
	for g := oldest; g < newest; g++ {
		if l.outOfDate(g) {
			return l.read(l.place(g))
		}
	}
	return nil
}

// outOfDate reports whether what is known of a generation before the newest may
// lack claims. Either the segment was not yet sealed when it was read and took
// claims after that, or this VM slept and its slot has since been given to a later
// generation. A claim missed here would let its action run a second time.
func (l *Log) outOfDate(generation int64) bool {
	s := l.slots[l.place(generation)].segment
	if s == nil || s.Generation != generation {
		return !l.faults.trustStale
	}
	return !s.Sealed && !l.faults.trustOpen
}

func (l *Log) read(i int) *Call {
	l.counter++
	l.readSent = l.counter
	return &Call{Slot: i}
}

// newest returns the largest generation, or 0.
func (l *Log) newest() int64 {
	var newest int64
	for i := range l.slots {
		if s := l.slots[i].segment; s != nil {
			newest = max(newest, s.Generation)
		}
	}
	return newest
}

// lookup finds a key's claim and its slot.
func (l *Log) lookup(k Key) (int, *Record) {
	newest := l.newest()
	for i := range l.slots {
		s := l.slots[i].segment
		if s == nil || l.faults.skipOlder && s.Generation < newest {
			continue
		}
		if r := s.find(k); r != nil {
			return i, r
		}
	}
	return 0, nil
}

// settle gives the verdicts that need no change. A claim that was found is
// reported only as it stood after the operation came, since it may have been
// answered or handed over; for that its slot is read again.
func (l *Log) settle() ([]Verdict, *Call) {
	var out []Verdict
	var refresh *Call
	l.ops = slices.DeleteFunc(l.ops, func(p pending) bool {
		i, r := l.lookup(p.Record.Key)
		v, done := l.judge(p, r)
		if !done {
			return false
		}
		if v.Found != nil && l.slots[i].readAt <= p.since {
			refresh = &Call{Slot: i}
			return false
		}
		out = append(out, v)
		return true
	})
	if refresh != nil {
		return out, l.read(refresh.Slot)
	}
	return out, nil
}

// judge compares an operation with the claim that stands, if there is one.
func (l *Log) judge(p pending, r *Record) (Verdict, bool) {
	switch {
	case r == nil && p.Kind == Claim:
		return Verdict{}, false
	case r == nil:
		// The claim has outlived its lifetime.
		return Verdict{ID: p.ID, Err: ErrDeadline}, true
	case p.Kind == Store && r.Attempt == p.Record.Attempt:
		return Verdict{ID: p.ID, Granted: true}, r.Answer != nil
	case r.Attempt == p.Record.Attempt:
		// An earlier swap whose answer was lost has taken effect.
		return Verdict{ID: p.ID, Granted: true}, true
	case p.Kind == TakeOver && (r.Attempt == p.From || l.faults.stealAttempts):
		return Verdict{}, false
	}
	found := *r
	return Verdict{ID: p.ID, Found: &found}, true
}

// change returns the swap that takes over or stores, for the first slot that has
// any of it. All operations on that slot go together.
func (l *Log) change() *Call {
	for i := range l.slots {
		s := l.slots[i].segment
		if s == nil {
			continue
		}
		next := s.clone()
		var batch []uint64
		for _, p := range l.ops {
			r := next.find(p.Record.Key)
			if p.Kind == Claim || r == nil || !l.apply(p, r) {
				continue
			}
			batch = append(batch, p.ID)
		}
		if len(batch) > 0 {
			l.appendClaims(next, &batch)
			return l.swap(i, next, batch)
		}
	}
	return nil
}

// apply changes a claim that stands. It reports whether it did.
func (l *Log) apply(p pending, r *Record) bool {
	switch {
	case p.Kind == TakeOver && (r.Attempt == p.From || l.faults.stealAttempts):
		*r = p.Record
		return true
	case p.Kind == Store && r.Attempt == p.Record.Attempt && r.Answer == nil:
		r.Answer = p.Record.Answer
		return true
	}
	return false
}

// add returns the swap that adds claims: to the newest segment, or to the one
// after it once that is sealed.
func (l *Log) add(now time.Time) ([]Verdict, *Call) {
	newest := l.newest()
	if newest == 0 {
		return nil, l.open(1)
	}
	i := l.place(newest)
	s := l.slots[i].segment
	if s.Sealed {
		return l.roll(newest+1, now)
	}
	next := s.clone()
	var batch []uint64
	l.appendClaims(next, &batch)
	return nil, l.swap(i, next, batch)
}

func (l *Log) place(generation int64) int {
	return int(generation % int64(len(l.slots)))
}

// roll starts a generation in the slot of one whose claims have all expired.
func (l *Log) roll(generation int64, now time.Time) ([]Verdict, *Call) {
	old := l.slots[l.place(generation)].segment
	if old != nil && !old.expired(now, l.options.Lifetime) {
		return l.abort(ErrFull), nil
	}
	return nil, l.open(generation)
}

func (l *Log) open(generation int64) *Call {
	next := &segment{Generation: generation}
	var batch []uint64
	l.appendClaims(next, &batch)
	return l.swap(l.place(generation), next, batch)
}

// appendClaims adds the claims that wait to the newest segment, and seals it once
// it is large enough. Of two claims on one key the first is added; the second
// finds it when this swap is known to have taken effect.
func (l *Log) appendClaims(s *segment, batch *[]uint64) {
	if s.Sealed || s.Generation < l.newest() {
		return
	}
	for _, p := range l.ops {
		if p.Kind != Claim || len(s.Records) >= l.options.MaxRecords {
			continue
		}
		if s.find(p.Record.Key) != nil {
			continue
		}
		s.Records = append(s.Records, p.Record)
		*batch = append(*batch, p.ID)
	}
}

// swap returns the call that writes a segment.
func (l *Log) swap(i int, s *segment, batch []uint64) *Call {
	value := s.encode()
	full := len(s.Records) >= l.options.MaxRecords || len(value) >= sealBytes
	if full && !s.Sealed {
		s.Sealed = true
		value = s.encode()
	}
	if len(value) > maxSegmentBytes {
		omitBodies(s)
		value = s.encode()
	}
	l.batch, l.working = batch, s
	expected := l.slots[i].revision
	return &Call{Slot: i, Swap: true, Expected: expected, Value: value}
}

// omitBodies makes room by forgetting the bodies of answers. The retries of these
// actions learn that they were answered and with which status.
func omitBodies(s *segment) {
	for i := range s.Records {
		a := s.Records[i].Answer
		if a == nil || len(a.Body) == 0 {
			continue
		}
		s.Records[i].Answer = &Answer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
	}
}
