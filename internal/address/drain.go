package address

import "time"

// Phase is a step of a VM's planned stop.
type Phase int

// The phases, in order.
const (
	// Serving takes callers.
	Serving Phase = iota
	// Unnamed is no longer in any answer, and still takes the callers that keep
	// an old one.
	Unnamed
	// Closing takes no new connection and closes the idle ones; every answer
	// tells its caller to connect elsewhere.
	Closing
	// Stopped has nothing left to do.
	Stopped
)

// Stop is the state of a planned stop.
type Stop struct {
	// StartedAt is when the stop began, or the zero time.
	StartedAt time.Time
	// Lifetime is the longest that a caller keeps an address answer.
	Lifetime time.Duration
	// Spread is how long it takes until every VM has heard of the stop and names
	// this one no more.
	Spread time.Duration
}

// Phase returns the phase at a time with a number of requests in flight. A VM
// that closed its listener at once would cut off the callers that were told to
// use it a moment ago.
func (s Stop) Phase(now time.Time, inFlight int) Phase {
	if s.StartedAt.IsZero() {
		return Serving
	}
	if now.Before(s.StartedAt.Add(s.Spread + s.Lifetime)) {
		return Unnamed
	}
	if inFlight > 0 {
		return Closing
	}
	return Stopped
}
