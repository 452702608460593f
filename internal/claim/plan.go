package claim

import (
	"slices"
	"time"
)

// plan returns the verdicts that follow from the cached slots, and the call that the
// remaining operations need.
func (l *Log) plan(now time.Time) ([]Verdict, *Call) {
	if len(l.ops) == 0 {
		return nil, nil
	}
	if call := l.nextRead(); call != nil {
		return nil, call
	}
	verdicts, refresh := l.settle()
	if refresh != nil {
		return verdicts, refresh
	}
	if len(l.ops) == 0 {
		return verdicts, nil
	}
	if call := l.updateExisting(); call != nil {
		return verdicts, call
	}
	more, call := l.addClaims(now)
	return append(verdicts, more...), call
}

// nextRead returns the next read that is needed before a key can be known to have no
// claim: every slot must be read, and read again when it is out of date.
func (l *Log) nextRead() *Call {
	for i := range l.slots {
		if !l.slots[i].loaded {
			return l.readSlot(i)
		}
	}
	newest := l.newest()
	oldest := max(1, newest-int64(len(l.slots))+1)
	for g := oldest; g < newest; g++ {
		if l.outOfDate(g) {
			return l.readSlot(l.slotOf(g))
		}
	}
	return nil
}

// outOfDate reports whether the cached segment of a generation before the newest may
// lack claims. Either the segment was not sealed when it was read, so that claims may
// have been added since, or this VM was paused and the slot has been reused for a later
// generation. A claim that is missed here would let its action run a second time.
func (l *Log) outOfDate(generation int64) bool {
	s := l.slots[l.slotOf(generation)].segment
	if s == nil || s.Generation != generation {
		return !l.faults.trustStale
	}
	return !s.Sealed && !l.faults.trustOpen
}

// readSlot returns a read of slot i and records when it was sent.
func (l *Log) readSlot(i int) *Call {
	l.counter++
	l.readSent = l.counter
	return &Call{Slot: i}
}

// newest returns the largest cached generation, or 0 if there is no segment.
func (l *Log) newest() int64 {
	var newest int64
	for i := range l.slots {
		if s := l.slots[i].segment; s != nil {
			newest = max(newest, s.Generation)
		}
	}
	return newest
}

// lookup returns the slot and the record of a key's claim, or a nil record.
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

// settle returns the verdicts that need no swap. A conflicting claim is reported only
// from a read that was sent after the operation was submitted, since an older read may
// lack its answer or a takeover; until then settle returns a read of its slot.
func (l *Log) settle() ([]Verdict, *Call) {
	var out []Verdict
	var refresh *Call
	l.ops = slices.DeleteFunc(l.ops, func(p pending) bool {
		i, r := l.lookup(p.Record.Key)
		v, done := l.decide(p, r)
		if !done {
			return false
		}
		if v.Found != nil && l.slots[i].readAt <= p.submittedAt {
			refresh = &Call{Slot: i}
			return false
		}
		out = append(out, v)
		return true
	})
	if refresh != nil {
		return out, l.readSlot(refresh.Slot)
	}
	return out, nil
}

// decide compares an operation with the existing claim on its key, which may be nil. It
// returns the verdict and whether the operation is decided without a swap.
func (l *Log) decide(p pending, r *Record) (Verdict, bool) {
	switch {
	case r == nil && p.Kind == Claim:
		return Verdict{}, false
	case r == nil:
		// The claim has expired.
		return Verdict{ID: p.ID, Err: ErrDeadline}, true
	case p.Kind == Store && r.Attempt == p.Record.Attempt:
		return Verdict{ID: p.ID, Granted: true}, r.Answer != nil
	case r.Attempt == p.Record.Attempt:
		// An earlier swap whose outcome was unknown has taken effect.
		return Verdict{ID: p.ID, Granted: true}, true
	case p.Kind == TakeOver && (r.Attempt == p.From || l.faults.stealAttempts):
		return Verdict{}, false
	}
	found := *r
	return Verdict{ID: p.ID, Found: &found}, true
}

// updateExisting returns the swap for TakeOver and Store operations, for the first slot
// that any of them applies to, or nil. All operations on that slot are batched.
func (l *Log) updateExisting() *Call {
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

// apply updates an existing claim. It reports whether the operation applied to it.
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

// addClaims returns the swap that adds claims: to the newest segment, or to the next
// generation if the newest is sealed.
func (l *Log) addClaims(now time.Time) ([]Verdict, *Call) {
	newest := l.newest()
	if newest == 0 {
		return nil, l.openSegment(1)
	}
	i := l.slotOf(newest)
	s := l.slots[i].segment
	if s.Sealed {
		return l.roll(newest+1, now)
	}
	next := s.clone()
	var batch []uint64
	l.appendClaims(next, &batch)
	return nil, l.swap(i, next, batch)
}

// slotOf returns the slot of a generation.
func (l *Log) slotOf(generation int64) int {
	return int(generation % int64(len(l.slots)))
}

// roll starts a generation in the slot of an older one whose claims have all expired.
// Otherwise it ends every operation with ErrFull.
func (l *Log) roll(generation int64, now time.Time) ([]Verdict, *Call) {
	old := l.slots[l.slotOf(generation)].segment
	if old != nil && !old.expired(now, l.options.Lifetime) {
		return l.abort(ErrFull), nil
	}
	return nil, l.openSegment(generation)
}

// openSegment returns the swap that creates a generation with the pending claims.
func (l *Log) openSegment(generation int64) *Call {
	next := &segment{Generation: generation}
	var batch []uint64
	l.appendClaims(next, &batch)
	return l.swap(l.slotOf(generation), next, batch)
}

// appendClaims adds the pending claims to s if it is the newest segment and not sealed,
// up to MaxRecords. Of two claims on one key the first is added; the second is
// answered with it once this swap is known to have taken effect.
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

// swap returns the call that writes s to slot i. It seals a segment that has reached its
// limits.
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
	l.batch, l.proposed = batch, s
	expected := l.slots[i].revision
	return &Call{Slot: i, Swap: true, Expected: expected, Value: value}
}

// omitBodies makes room in a segment by dropping the bodies of its answers. Retries of
// these actions are still answered with the status.
func omitBodies(s *segment) {
	for i := range s.Records {
		a := s.Records[i].Answer
		if a == nil || len(a.Body) == 0 {
			continue
		}
		s.Records[i].Answer = &Answer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
	}
}
