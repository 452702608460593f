package claim

import "time"

// State is how far an attempt has got at its claimant.
type State int

// The states of an attempt.
const (
	// Lost means that the claimant knows nothing of the attempt: it has
	// restarted, or the attempt was dispatched and its outcome never came.
	Lost State = iota
	// Waiting means that the claim is not settled or not dispatched yet.
	Waiting
	// Running means that the action was dispatched.
	Running
	// Abandoned means that the attempt was never dispatched and never will be.
	Abandoned
	// Done means that the action was answered.
	Done
)

// maxAbandoned bounds the abandoned attempts that are remembered. One that is
// forgotten counts as lost: its key then answers "outcome unknown", which is safe.
const maxAbandoned = 1 << 16

// MaxHold is the longest time between claim and dispatch. A VM that was paused
// for longer than a claim lives would otherwise dispatch an action whose claim is
// gone, and which another VM may have claimed and run since.
const MaxHold = 10 * time.Minute

// attempt is one attempt of this process.
type attempt struct {
	state   State
	since   time.Time
	granted bool
	answer  *Answer
}

// Attempts holds the attempts of this process. The decision to dispatch and the
// word that an attempt will never be dispatched are given by the same owner, one
// after the other; two owners could give both. It belongs to one goroutine, or
// stands under one lock.
type Attempts struct {
	attempts  map[string]*attempt
	abandoned []string
	// promiseAnyway is a planted fault: an attempt that was dispatched is
	// reported as abandoned.
	promiseAnyway bool
	// holdForEver is a planted fault: the time since the claim does not matter.
	holdForEver bool
}

// NewAttempts returns an empty table.
func NewAttempts() *Attempts {
	return &Attempts{attempts: make(map[string]*attempt)}
}

// Begin adds an attempt before its claim is submitted.
func (a *Attempts) Begin(id string, claimedAt time.Time) {
	a.attempts[id] = &attempt{state: Waiting, since: claimedAt}
}

// Grant notes that the attempt's claim is known to be in the service.
func (a *Attempts) Grant(id string) {
	if t := a.attempts[id]; t != nil {
		t.granted = true
	}
}

// Dispatch reports whether the attempt may be dispatched now. It is true once.
// The time is the wall clock's, which a pause does not stop.
func (a *Attempts) Dispatch(id string, now time.Time) bool {
	t := a.attempts[id]
	if t == nil || t.state != Waiting || !t.granted {
		return false
	}
	if now.Sub(t.since) > MaxHold && !a.holdForEver {
		return false
	}
	t.state = Running
	return true
}

// Unsent takes a dispatch back: no byte of it can have reached the upstream.
func (a *Attempts) Unsent(id string) {
	if t := a.attempts[id]; t != nil && t.state == Running {
		t.state = Waiting
	}
}

// Abandon gives up an attempt that was not dispatched. It reports whether the
// attempt is abandoned, so that "not run" is true.
func (a *Attempts) Abandon(id string) bool {
	t := a.attempts[id]
	if t == nil || t.state == Running || t.state == Done {
		return false
	}
	if t.state == Abandoned {
		return true
	}
	t.state = Abandoned
	a.abandoned = append(a.abandoned, id)
	if len(a.abandoned) > maxAbandoned {
		delete(a.attempts, a.abandoned[0])
		a.abandoned = a.abandoned[1:]
	}
	return true
}

// Answer notes the action's answer. It is kept until Forget.
func (a *Attempts) Answer(id string, answer *Answer) {
	if t := a.attempts[id]; t != nil && t.state == Running {
		t.state, t.answer = Done, answer
	}
}

// Forget drops an attempt whose answer is stored or whose outcome is unknown.
func (a *Attempts) Forget(id string) {
	t := a.attempts[id]
	if t != nil && (t.state == Running || t.state == Done) {
		delete(a.attempts, id)
	}
}

// Ask returns an attempt's state, and its answer if it is done.
func (a *Attempts) Ask(id string) (State, *Answer) {
	t := a.attempts[id]
	if t == nil {
		return Lost, nil
	}
	if a.promiseAnyway && t.state == Running {
		return Abandoned, nil
	}
	return t.state, t.answer
}
