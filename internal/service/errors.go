package service

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotRun means that no byte of the call can have reached the service.
	ErrNotRun = errors.New("service: not run")
	// ErrUnknown means that the call may have run: some of its bytes may have reached
	// the service, and no complete answer was received.
	ErrUnknown = errors.New("service: outcome unknown")
	// ErrMismatch means that the answer carried another call's request ID.
	ErrMismatch = errors.New("service: answer to another request")
	// ErrStatus means that the answer's status is invalid.
	ErrStatus = errors.New("service: invalid status")
	// ErrAnswerTooLarge means that the answer is larger than MaxAnswerBytes.
	ErrAnswerTooLarge = errors.New("service: answer too large")
)

// Outcome is what the client knows about the execution of a call.
type Outcome int

// The outcomes of a call.
const (
	Unknown Outcome = iota
	NotRun
	Answered
)

// CallError is the error of a call without a valid answer. With errors.Is it matches its
// cause and either ErrNotRun or ErrUnknown.
type CallError struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	// Cause is the underlying error.
	Cause error
}

// Error returns the texts of the outcome and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %v", e.sentinel(), e.Cause)
}

// Unwrap returns the sentinel error of the outcome, and the cause.
func (e *CallError) Unwrap() []error {
	return []error{e.sentinel(), e.Cause}
}

func (e *CallError) sentinel() error {
	if e.Outcome == NotRun {
		return ErrNotRun
	}
	return ErrUnknown
}

// OutcomeOf returns the outcome of a call from the error that Call returned. A nil error
// means Answered.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Answered
	}
	if errors.Is(err, ErrNotRun) {
		return NotRun
	}
	return Unknown
}
