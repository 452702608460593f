package kv

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrUnavailable means that the service gave no answer in time or said
	// that it can give none. Nothing was learned.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrLeaseGone means that the lease has lapsed or was revoked.
	ErrLeaseGone = errors.New("kv: lease gone")
	// ErrOptions means that the client's options cannot work.
	ErrOptions = errors.New("kv: bad options")
)

// StatusError is an answer of the service that is not a success. It unwraps to
// ErrUnavailable.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Message is the service's own text, cut short.
	Message string
}

// Error gives the status and the service's text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("kv: status %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrUnavailable.
func (e *StatusError) Unwrap() error { return ErrUnavailable }

// BudgetError means that the call was not sent, because the call budget left
// nothing for its priority before the deadline. It unwraps to ErrUnavailable.
type BudgetError struct {
	// Priority is the call's.
	Priority Priority
}

// Error names the priority.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("kv: call budget exhausted for %s", e.Priority)
}

// Unwrap returns ErrUnavailable.
func (e *BudgetError) Unwrap() error { return ErrUnavailable }
