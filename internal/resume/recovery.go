package resume

import "time"

// Failure is the way in which an exchange with an engine ended before the stream was
// complete.
type Failure int

// The failures of an exchange.
const (
	// NotSent means that the engine could not be reached, so that the request has
	// not arrived there.
	NotSent Failure = iota
	// Broken means that the connection was reset or silent for too long, or that the
	// answer had a gap, was truncated or belonged to another request.
	Broken
	// UnknownStream means that the engine has no such stream: it has restarted,
	// the request never arrived, or the stream has expired.
	UnknownStream
	// Refused means that the engine answered why it does not serve the request, for
	// example because it is leaving.
	Refused
	// Invalid means that the engine rejected the request itself as faulty.
	Invalid
)

// Step is the next action after a failure.
type Step int

// The steps.
const (
	// Resume reads the rest of the stream from the same engine.
	Resume Step = iota
	// Move requests the rest of the stream from another engine.
	Move
	// GiveUp reports to the caller that the answer cannot be completed.
	GiveUp
)

// Options bounds the recovery of a stream. The zero value takes every default.
type Options struct {
	// MaxResumes is how often in a row the stream is resumed at one engine without
	// progress before it is moved. The default is 2.
	MaxResumes int
	// MaxMoves is how often a stream may be moved to another engine. The default is 2.
	MaxMoves int
	// RetryDelay is the delay before the second and later resumes in a row at one
	// engine. The default is 100ms.
	RetryDelay time.Duration
}

// The defaults of Options.
const (
	DefaultMaxResumes = 2
	DefaultMaxMoves   = 2
	DefaultRetryDelay = 100 * time.Millisecond
)

// Recovery decides how to continue a stream when its exchange with an engine fails.
// It must be used by one goroutine only.
type Recovery struct {
	options Options
	// failures counts the consecutive attempts at this engine that delivered no event.
	failures int
	moves    int
	// mayKnowStream means that the request may have reached the engine.
	mayKnowStream bool
	// faults are injected by tests.
	faults recoveryFaults
}

// recoveryFaults are injected by tests to show that their oracles detect them.
type recoveryFaults struct {
	// forgetProgress counts failures over the stream's whole life.
	forgetProgress bool
	// resumeForEver never moves the stream to another engine.
	resumeForEver bool
}

// NewRecovery returns the state for a stream that has just been sent to an engine.
func NewRecovery(o Options) *Recovery {
	if o.MaxResumes == 0 {
		o.MaxResumes = DefaultMaxResumes
	}
	if o.MaxMoves == 0 {
		o.MaxMoves = DefaultMaxMoves
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = DefaultRetryDelay
	}
	return &Recovery{options: o}
}

// Progress records that the engine has sent an event. It resets the count of failures,
// so that a long stream may fail often and still be completed.
func (r *Recovery) Progress() {
	r.mayKnowStream = true
	if !r.faults.forgetProgress {
		r.failures = 0
	}
}

// NextStep returns the next step after a failure, and the delay before it.
func (r *Recovery) NextStep(failure Failure) (Step, time.Duration) {
	switch failure {
	case Invalid:
		return GiveUp, 0
	case UnknownStream, Refused:
		return r.move()
	case NotSent:
		if !r.mayKnowStream {
			return r.move()
		}
	default:
		r.mayKnowStream = true
	}
	r.failures++
	if r.failures > r.options.MaxResumes && !r.faults.resumeForEver {
		return r.move()
	}
	if r.failures == 1 {
		return Resume, 0
	}
	return Resume, r.options.RetryDelay
}

func (r *Recovery) move() (Step, time.Duration) {
	if r.moves >= r.options.MaxMoves {
		return GiveUp, 0
	}
	r.moves++
	r.failures = 0
	r.mayKnowStream = false
	return Move, 0
}
