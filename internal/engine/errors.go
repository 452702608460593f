package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent means that no byte of the request can have reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrBroken means that an exchange ended before its answer was whole: the
	// connection was reset, went silent, skipped an event or was truncated.
	ErrBroken = errors.New("engine: exchange broken")
	// ErrMismatch means that an answer carried another request's ID. The
	// connection is closed and nothing of the answer is used.
	ErrMismatch = errors.New("engine: answer to another request")
	// ErrUnknownStream means that the engine has no stream of that request ID.
	ErrUnknownStream = errors.New("engine: unknown stream")
)

// StatusError is an answer other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the beginning of the answer's body.
	Body []byte
}

// Error describes the answer by its status only: the body may hold a prompt.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: answered with status %d", e.Status)
}
