package claim

import (
	"slices"
	"time"
)

// Options configures a Log.
type Options struct {
	// Lifetime is how long a claim is kept. The default is DefaultLifetime, 24h. A
	// key that is used again after that is a new action.
	Lifetime time.Duration
	// Slots is the number of segments in the ring, and MaxRecords the number of
	// claims at which a segment is sealed. The defaults are the constants Slots and
	// MaxRecords; tests set smaller values.
	Slots      int
	MaxRecords int
}

// DefaultLifetime is how long a claim is kept. It includes an hour for clock skew: the
// lifetime stated to callers is 23 hours.
const DefaultLifetime = 24 * time.Hour

// slot is the cached state of one key of the ring.
type slot struct {
	loaded   bool
	revision int64
	// segment is nil if the key does not exist.
	segment *segment
	// readAt is the value of Log.counter when the latest read of the slot was sent.
	readAt uint64
}

// pending is an operation that has no verdict yet.
type pending struct {
	Op
	// submittedAt is the value of Log.counter when the operation was submitted.
	submittedAt uint64
}

// Log is one VM's view of one shard. It is not safe for concurrent use. At most one
// call is in flight at a time; operations that are submitted meanwhile are batched
// into the next swap.
type Log struct {
	options Options
	slots   []slot
	ops     []pending
	// counter is a logical clock that orders submitted operations and sent reads.
	counter uint64
	// readSent is the counter when the latest read was sent.
	readSent uint64
	// batch holds the IDs of the operations that the swap in flight includes.
	batch []uint64
	// proposed is the segment that the swap in flight writes.
	proposed     *segment
	callInFlight bool
	faults       faults
}

// faults are planted by tests to check that their oracles detect them.
type faults struct {
	// trustUnknown treats a swap whose outcome is unknown as one that took effect.
	trustUnknown bool
	// skipOlder looks a key up in the newest segment only.
	skipOlder bool
	// trustStale treats a cached slot as current if it is empty or holds another
	// generation than expected.
	trustStale bool
	// trustOpen treats an earlier segment as complete although it was not sealed
	// when it was read.
	trustOpen bool
	// stealAttempts takes a claim over without comparing its attempt.
	stealAttempts bool
}

// NewLog returns a Log with no slot read yet.
func NewLog(o Options) *Log {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.Slots == 0 {
		o.Slots = Slots
	}
	if o.MaxRecords == 0 {
		o.MaxRecords = MaxRecords
	}
	return &Log{options: o, slots: make([]slot, o.Slots)}
}

// Submit adds an operation. Next, ReadDone, SwapDone or Expire returns its verdict.
func (l *Log) Submit(op Op) {
	l.counter++
	l.ops = append(l.ops, pending{Op: op, submittedAt: l.counter})
}

// Waiting returns the number of operations without a verdict.
func (l *Log) Waiting() int { return len(l.ops) }

// Expire ends the operations whose deadline has passed with ErrDeadline. A swap that
// includes one of them may still be in flight.
func (l *Log) Expire(now time.Time) []Verdict {
	var out []Verdict
	l.ops = slices.DeleteFunc(l.ops, func(p pending) bool {
		late := now.After(p.Deadline)
		if late {
			out = append(out, Verdict{ID: p.ID, Err: ErrDeadline})
		}
		return late
	})
	return out
}

// Next returns the call to make now, or nil, and the verdicts that need no call. While
// a call is in flight it returns neither. The result of the call must be passed to
// ReadDone, ReadFailed or SwapDone.
func (l *Log) Next(now time.Time) (*Call, []Verdict) {
	if l.callInFlight {
		return nil, nil
	}
	verdicts, call := l.plan(now)
	l.callInFlight = call != nil
	return call, verdicts
}

// NextRead returns the next read that is needed before an operation can be decided, or
// nil if every slot is up to date or a call is in flight. Like Next, it puts the
// returned call in flight.
func (l *Log) NextRead() *Call {
	if l.callInFlight {
		return nil
	}
	call := l.nextRead()
	l.callInFlight = call != nil
	return call
}

// ReadFailed records that a read failed. A later call to Next or NextRead returns the read
// again if it is still needed.
func (l *Log) ReadFailed() {
	l.callInFlight = false
}

// ReadDone records the result of a read of slot i. A nil value means that the key does not
// exist. A value that cannot be decoded ends every operation with ErrCorrupt.
func (l *Log) ReadDone(i int, revision int64, value []byte) []Verdict {
	l.callInFlight = false
	s := slot{loaded: true, revision: revision, readAt: l.readSent}
	if value != nil {
		decoded, err := decode(value)
		if err != nil {
			return l.abort(err)
		}
		s.segment = decoded
	}
	l.slots[i] = s
	return nil
}

// abort ends every operation with err.
func (l *Log) abort(err error) []Verdict {
	out := make([]Verdict, 0, len(l.ops))
	for _, p := range l.ops {
		out = append(out, Verdict{ID: p.ID, Err: err})
	}
	l.ops = nil
	return out
}

// SwapDone records the outcome of a swap of slot i, with the new revision if it took
// effect. Otherwise the slot is read again before anything else is decided: its
// content shows for each operation whether it took effect.
func (l *Log) SwapDone(i int, outcome Outcome, revision int64) []Verdict {
	l.callInFlight = false
	batch, working := l.batch, l.proposed
	l.batch, l.proposed = nil, nil
	if outcome == Unknown && l.faults.trustUnknown {
		outcome = TookEffect
	}
	if outcome != TookEffect {
		l.slots[i].loaded = false
		return nil
	}
	l.slots[i] = slot{loaded: true, revision: revision, segment: working, readAt: l.slots[i].readAt}
	var out []Verdict
	l.ops = slices.DeleteFunc(l.ops, func(p pending) bool {
		included := slices.Contains(batch, p.ID)
		if included {
			out = append(out, Verdict{ID: p.ID, Granted: true})
		}
		return included
	})
	return out
}
