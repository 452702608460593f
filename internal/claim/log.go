package claim

import (
	"slices"
	"time"
)

// Options configures a Log.
type Options struct {
	// Lifetime is how long a claim is kept. The default is 24h. A key that is
	// used again later is a new action.
	Lifetime time.Duration
	// Slots and MaxRecords are smaller in tests.
	Slots      int
	MaxRecords int
}

// DefaultLifetime is how long a claim is kept. It includes an hour for clocks
// that disagree: callers are told 23 hours.
const DefaultLifetime = 24 * time.Hour

// slot is what is known of one key of the ring.
type slot struct {
	loaded   bool
	revision int64
	// segment is nil if the key does not exist.
	segment *segment
	// readAt is the log's counter when the newest read was sent.
	readAt uint64
}

// pending is an operation that has no verdict yet.
type pending struct {
	Op
	// since is the log's counter when the operation came.
	since uint64
}

// Log is one shard as one VM knows it. It belongs to one goroutine. At most one
// call is under way at a time, and all operations that wait are written by the
// next one.
type Log struct {
	options Options
	slots   []slot
	ops     []pending
	counter uint64
	// readSent is the counter when the read under way was sent.
	readSent uint64
	// batch holds the operations that the swap under way carries.
	batch []uint64
	// working is the segment that the swap under way writes.
	working *segment
	// calling is true while a call is under way.
	calling bool
	faults  faults
}

// faults are planted by tests, to show that their oracles find them.
type faults struct {
	// trustUnknown takes a swap without an answer for one that took effect.
	trustUnknown bool
	// skipOlder looks for a key in the newest segment only.
	skipOlder bool
	// trustStale takes a sealed segment for current whatever its generation.
	trustStale bool
	// trustOpen takes an earlier segment for whole that was not sealed when it
	// was read.
	trustOpen bool
	// stealAttempts takes over without comparing the attempt.
	stealAttempts bool
}

// NewLog returns the log of a shard of which nothing is known yet.
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

// Submit adds an operation. Its verdict comes from Next, Read, Swapped or Expire.
func (l *Log) Submit(op Op) {
	l.counter++
	l.ops = append(l.ops, pending{Op: op, since: l.counter})
}

// Waiting returns the number of operations without a verdict.
func (l *Log) Waiting() int { return len(l.ops) }

// Expire ends the operations whose deadline has passed. A swap that carries one
// of them may still be under way.
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

// Next returns the call to make now, if there is one, and the verdicts that need
// none. It must not be called again before the call's result was given to Read or
// Swapped.
func (l *Log) Next(now time.Time) (*Call, []Verdict) {
	if l.calling {
		return nil, nil
	}
	verdicts, call := l.plan(now)
	l.calling = call != nil
	return call, verdicts
}

// Load returns the next read that is needed before an operation can be decided, or
// nil if none is. Like Next, it begins a call.
func (l *Log) Load() *Call {
	if l.calling {
		return nil
	}
	call := l.load()
	l.calling = call != nil
	return call
}

// Failed says that a read brought nothing. The next call tries again.
func (l *Log) Failed() {
	l.calling = false
}

// Read takes what stands in a slot. A nil value means that the key does not
// exist. A value that cannot be read ends every operation.
func (l *Log) Read(i int, revision int64, value []byte) []Verdict {
	l.calling = false
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

func (l *Log) abort(err error) []Verdict {
	out := make([]Verdict, 0, len(l.ops))
	for _, p := range l.ops {
		out = append(out, Verdict{ID: p.ID, Err: err})
	}
	l.ops = nil
	return out
}

// Swapped takes the outcome of a swap, with the new revision if it took effect.
// Otherwise the slot is read before anything else is decided: what it holds then
// says for each operation whether it took effect.
func (l *Log) Swapped(i int, outcome Outcome, revision int64) []Verdict {
	l.calling = false
	batch, working := l.batch, l.working
	l.batch, l.working = nil, nil
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
		carried := slices.Contains(batch, p.ID)
		if carried {
			out = append(out, Verdict{ID: p.ID, Granted: true})
		}
		return carried
	})
	return out
}
