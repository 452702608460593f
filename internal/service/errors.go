package service

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotRun means that no byte of the call can have reached the service.
	ErrNotRun = errors.New("service: not run")
	// ErrUnknown means that the call may have run: its bytes may have reached
	// the service, and no whole answer to it came back.
	ErrUnknown = errors.New("service: outcome unknown")
	// ErrMismatch means that the answer carried another call's request ID.
	ErrMismatch = errors.New("service: answer to another request")
	// ErrAnswerTooLarge means that the answer is larger than MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("service: answer too large")
)

// Outcome says what is known of a call.
type Outcome int

// A call has one of three outcomes.
const (
	Unknown Outcome = iota
	NotRun
	Answered
)

// CallError is a call that brought no answer. It matches ErrNotRun or
// ErrUnknown with errors.Is, and its cause.
type CallError struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Cause is what went wrong.
	Cause error
}

// Error describes the outcome and its cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %v", e.sentinel(), e.Cause)
}

// Unwrap returns the outcome's sentinel and the cause.
func (e *CallError) Unwrap() []error {
	return []error{e.sentinel(), e.Cause}
}

func (e *CallError) sentinel() error {
	if e.Outcome == NotRun {
		return ErrNotRun
	}
	return ErrUnknown
}

// OutcomeOf returns the outcome that an error of Call stands for.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Answered
	}
	if errors.Is(err, ErrNotRun) {
		return NotRun
	}
	return Unknown
}
