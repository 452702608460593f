package claim

import "time"

// State is the state of an attempt at its claimant, the VM that made it.
type State int

// The states of an attempt.
const (
	// Lost means that the claimant has no record of the attempt: it has restarted,
	// or the attempt was dispatched and its outcome was never received.
	Lost State = iota
	// Waiting means that the claim has no verdict yet, or that the attempt was not
	// dispatched yet.
	Waiting
	// Running means that the action was dispatched.
	Running
	// Abandoned means that the attempt was never dispatched and never will be.
	Abandoned
	// Done means that the action's answer was received.
	Done
)

// maxAbandoned is the number of abandoned attempts that are kept. An attempt that is
// evicted counts as lost: retries of its key are then answered "outcome unknown",
// which is safe.
const maxAbandoned = 1 << 16

// MaxDispatchDelay is the longest time allowed between claim and dispatch. Without it, a VM
// that was paused for longer than a claim's lifetime would dispatch an action whose
// claim has expired, and which another VM may have claimed and run in the meantime.
const MaxDispatchDelay = 10 * time.Minute

// attempt is the state of one attempt of this process.
type attempt struct {
	state     State
	claimedAt time.Time
	granted   bool
	answer    *Answer
}

// Attempts is the table of this process's attempts. The same table decides that an
// attempt is dispatched and reports that it never will be, one decision at a time;
// two tables could do both for one attempt. It is not safe for concurrent use: one
// goroutine must own it, or one lock must guard it.
type Attempts struct {
	attempts     map[string]*attempt
	abandonedIDs []string
	// promiseAnyway is a planted fault: Ask reports a dispatched attempt as
	// abandoned.
	promiseAnyway bool
	// holdForEver is a planted fault: Dispatch ignores MaxDispatchDelay.
	holdForEver bool
}

// NewAttempts returns an empty table.
func NewAttempts() *Attempts {
	return &Attempts{attempts: make(map[string]*attempt)}
}

// Begin adds an attempt. It must be called before the attempt's claim is submitted.
func (a *Attempts) Begin(id string, claimedAt time.Time) {
	a.attempts[id] = &attempt{state: Waiting, claimedAt: claimedAt}
}

// Grant records that the attempt's claim is confirmed in the key-value service.
func (a *Attempts) Grant(id string) {
	if t := a.attempts[id]; t != nil {
		t.granted = true
	}
}

// Dispatch reports whether the attempt may be dispatched now, and marks it as running
// if so: the result is true once. The time must be the wall clock's, which goes on
// while the VM is paused.
func (a *Attempts) Dispatch(id string, now time.Time) bool {
	t := a.attempts[id]
	if t == nil || t.state != Waiting || !t.granted {
		return false
	}
	if now.Sub(t.claimedAt) > MaxDispatchDelay && !a.holdForEver {
		return false
	}
	t.state = Running
	return true
}

// RevertDispatch undoes a dispatch of which no byte can have reached the upstream. The attempt
// may then be dispatched again.
func (a *Attempts) RevertDispatch(id string) {
	if t := a.attempts[id]; t != nil && t.state == Running {
		t.state = Waiting
	}
}

// Abandon abandons an attempt that was not dispatched. It reports whether the attempt
// is abandoned; only then may the caller be answered "not run".
func (a *Attempts) Abandon(id string) bool {
	t := a.attempts[id]
	if t == nil || t.state == Running || t.state == Done {
		return false
	}
	if t.state == Abandoned {
		return true
	}
	t.state = Abandoned
	a.abandonedIDs = append(a.abandonedIDs, id)
	if len(a.abandonedIDs) > maxAbandoned {
		delete(a.attempts, a.abandonedIDs[0])
		a.abandonedIDs = a.abandonedIDs[1:]
	}
	return true
}

// Answer records the action's answer, which is kept until Forget is called.
func (a *Attempts) Answer(id string, answer *Answer) {
	if t := a.attempts[id]; t != nil && t.state == Running {
		t.state, t.answer = Done, answer
	}
}

// Forget removes a dispatched attempt whose answer is stored or whose outcome is
// unknown.
func (a *Attempts) Forget(id string) {
	t := a.attempts[id]
	if t != nil && (t.state == Running || t.state == Done) {
		delete(a.attempts, id)
	}
}

// Lookup returns the state of an attempt, and its answer if the state is Done.
func (a *Attempts) Lookup(id string) (State, *Answer) {
	t := a.attempts[id]
	if t == nil {
		return Lost, nil
	}
	if a.promiseAnyway && t.state == Running {
		return Abandoned, nil
	}
	return t.state, t.answer
}
