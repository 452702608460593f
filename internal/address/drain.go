package address

import "time"

// Phase is a phase of a VM's planned shutdown.
type Phase int

// The phases, in order.
const (
	// Serving means that the VM accepts callers.
	Serving Phase = iota
	// Unadvertised means that the VM is no longer in any answer, but still accepts
	// the callers that have cached an older answer.
	Unadvertised
	// Closing means that the VM accepts no new connection and closes idle ones.
	// Every answer instructs its caller to connect elsewhere.
	Closing
	// Stopped means that no request is in flight and the VM can exit.
	Stopped
)

// Stop is the state of a planned shutdown.
type Stop struct {
	// StartedAt is when the shutdown began, or the zero time if it has not begun.
	StartedAt time.Time
	// Lifetime is the maximum time for which a caller caches an address answer.
	Lifetime time.Duration
	// PropagationDelay is the time until every VM has received notice of the shutdown and
	// no longer returns this VM in its answers.
	PropagationDelay time.Duration
}

// Phase returns the phase at the time now, given the number of requests in flight.
// A VM that closed its listener immediately would refuse the callers that have
// just received its address.
func (s Stop) Phase(now time.Time, inFlight int) Phase {
	if s.StartedAt.IsZero() {
		return Serving
	}
	if now.Before(s.StartedAt.Add(s.PropagationDelay + s.Lifetime)) {
		return Unadvertised
	}
	if inFlight > 0 {
		return Closing
	}
	return Stopped
}
