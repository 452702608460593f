package operator

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrRefused means that a change breaks a rule. Nothing was written.
	ErrRefused = errors.New("operator: refused")
	// ErrConflict means that another change was accepted first. Nothing was
	// written.
	ErrConflict = errors.New("operator: conflict")
	// ErrUnknown means that a change may or may not take effect.
	ErrUnknown = errors.New("operator: outcome unknown")
	// ErrUnavailable means that the VM cannot reach what the call needs.
	// Nothing was written.
	ErrUnavailable = errors.New("operator: unavailable")
	// ErrUnreachable means that the VM itself gave no usable answer.
	ErrUnreachable = errors.New("operator: VM unreachable")
	// ErrUnauthorized means that the call carried neither a key nor a
	// certificate of an operator.
	ErrUnauthorized = errors.New("operator: not an operator")
	// ErrNotFound means that the requested object does not exist.
	ErrNotFound = errors.New("operator: not found")
)

// ErrorType is the wire name of a kind of failure.
type ErrorType string

// The kinds of failure.
const (
	TypeRefused      ErrorType = "refused"
	TypeConflict     ErrorType = "conflict"
	TypeUnknown      ErrorType = "unknown"
	TypeUnavailable  ErrorType = "unavailable"
	TypeUnauthorized ErrorType = "unauthorized"
	TypeNotFound     ErrorType = "not_found"
)

// APIError is an error in the form in which the API returns it. It unwraps to
// the sentinel error of its type.
type APIError struct {
	// Type is the kind of failure.
	Type ErrorType `json:"type"`
	// Message is the text for operators.
	Message string `json:"message"`
	// Mistakes lists each mistake of a refused document with its position.
	Mistakes []string `json:"mistakes,omitempty"`
	// Version is the accepted version, with TypeConflict.
	Version int64 `json:"version,omitempty"`
	// ChangeID and Author belong to the accepted version, with TypeConflict.
	// With TypeUnknown, ChangeID is that of the change whose outcome is unknown.
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	// Changes lead from the accepted document to the refused one, with
	// TypeConflict.
	Changes []document.Change `json:"changes,omitempty"`
}

// Error returns the type and the message.
func (e *APIError) Error() string { return fmt.Sprintf("%s: %s", e.Type, e.Message) }

// Unwrap returns the sentinel error of the type.
func (e *APIError) Unwrap() error {
	switch e.Type {
	case TypeRefused:
		return ErrRefused
	case TypeConflict:
		return ErrConflict
	case TypeUnknown:
		return ErrUnknown
	case TypeUnavailable:
		return ErrUnavailable
	case TypeUnauthorized:
		return ErrUnauthorized
	case TypeNotFound:
		return ErrNotFound
	}
	return ErrUnreachable
}

// TransportError means that a call got no usable answer. It unwraps to
// ErrUnknown if the call was a change that may have been carried out, else to
// ErrUnreachable.
type TransportError struct {
	// Server is the VM's address.
	Server string
	// Cause is the underlying error.
	Cause error
	// MayHaveChanged means that the call was a change that may have been sent.
	MayHaveChanged bool
}

// Error returns the VM's address and the cause.
func (e *TransportError) Error() string {
	return fmt.Sprintf("operator: %s gave no answer: %v", e.Server, e.Cause)
}

// Unwrap returns ErrUnknown or ErrUnreachable.
func (e *TransportError) Unwrap() error {
	if e.MayHaveChanged {
		return ErrUnknown
	}
	return ErrUnreachable
}
