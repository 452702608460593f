package resume

import "time"

// Break is how an exchange with an engine ended before the stream was whole.
type Break int

// The breaks.
const (
	// NotSent means that the engine could not be reached at all, so that the
	// request has never arrived.
	NotSent Break = iota
	// Broken means a reset, silence, a hole, a truncated or a misrouted answer.
	Broken
	// UnknownStream means that the engine has no such stream: it has restarted,
	// the request never arrived, or the stream is too old.
	UnknownStream
	// Refused means an answer that says why the engine does not serve the
	// request, such as that it is leaving.
	Refused
	// Invalid means that the engine finds fault with the request itself.
	Invalid
)

// Step is what to do next.
type Step int

// The steps.
const (
	// Resume reads the rest of the stream from the same engine.
	Resume Step = iota
	// Move asks another engine for the rest.
	Move
	// GiveUp tells the caller that the answer will not become whole.
	GiveUp
)

// Options bounds how long a stream is followed. The zero value takes every default.
type Options struct {
	// Resumes is how often in a row an engine may fail to go on with the stream
	// before it is left. The default is 2.
	Resumes int
	// Moves is how often a stream may go to another engine. The default is 2.
	Moves int
	// Pause is the time before the second and later tries at one engine. The
	// default is 100ms.
	Pause time.Duration
}

// The defaults of Options.
const (
	DefaultResumes = 2
	DefaultMoves   = 2
	DefaultPause   = 100 * time.Millisecond
)

// Follow decides how a stream goes on when its exchange breaks. It belongs to one
// goroutine.
type Follow struct {
	options Options
	// failed counts the tries in a row that brought nothing from this engine.
	failed int
	moves  int
	// arrived means that the engine may know the stream.
	arrived bool
	// faults are planted by tests.
	faults followFaults
}

// followFaults are planted by tests, to show that their oracles find them.
type followFaults struct {
	// forgetProgress counts failures over the stream's whole life.
	forgetProgress bool
	// resumeForEver never leaves an engine.
	resumeForEver bool
}

// NewFollow returns the state of a stream that has just been sent to an engine.
func NewFollow(o Options) *Follow {
	if o.Resumes == 0 {
		o.Resumes = DefaultResumes
	}
	if o.Moves == 0 {
		o.Moves = DefaultMoves
	}
	if o.Pause == 0 {
		o.Pause = DefaultPause
	}
	return &Follow{options: o}
}

// Progress notes that the engine has sent an event. What failed before does not
// count any more: a long stream may break often and still be served.
func (f *Follow) Progress() {
	f.arrived = true
	if !f.faults.forgetProgress {
		f.failed = 0
	}
}

// Broke returns the next step after a break, and the time to wait before it.
func (f *Follow) Broke(b Break) (Step, time.Duration) {
	switch b {
	case Invalid:
		return GiveUp, 0
	case UnknownStream, Refused:
		return f.move()
	case NotSent:
		if !f.arrived {
			return f.move()
		}
	default:
		f.arrived = true
	}
	f.failed++
	if f.failed > f.options.Resumes && !f.faults.resumeForEver {
		return f.move()
	}
	if f.failed == 1 {
		return Resume, 0
	}
	return Resume, f.options.Pause
}

func (f *Follow) move() (Step, time.Duration) {
	if f.moves >= f.options.Moves {
		return GiveUp, 0
	}
	f.moves++
	f.failed = 0
	f.arrived = false
	return Move, 0
}
