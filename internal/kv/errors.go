package kv

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrUnavailable means that the service did not answer in time or answered
	// with an error. The call returned no information about the key.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrTooLarge means that the value is larger than MaxValueBytes.
	ErrTooLarge = errors.New("kv: value too large")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("kv: lease gone")
	// ErrOptions means that the client's options are invalid.
	ErrOptions = errors.New("kv: bad options")
)

// StatusError is an answer with an HTTP status other than 200. It unwraps to
// ErrUnavailable.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Message is the service's error text, truncated to 200 bytes.
	Message string
}

// Error returns the status and the service's text.
func (e *StatusError) Error() string {
	return fmt.Sprintf("kv: status %d: %s", e.Status, e.Message)
}

// Unwrap returns ErrUnavailable.
func (e *StatusError) Unwrap() error { return ErrUnavailable }

// BudgetError means that the call was not sent, because the call budget had no
// token for its priority before the context ended. It unwraps to
// ErrUnavailable.
type BudgetError struct {
	// Priority is the priority of the call.
	Priority Priority
}

// Error returns a text with the priority.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("kv: call budget exhausted for %s", e.Priority)
}

// Unwrap returns ErrUnavailable.
func (e *BudgetError) Unwrap() error { return ErrUnavailable }
