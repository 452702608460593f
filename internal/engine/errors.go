package engine

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent means that no byte of the request can have reached the engine.
	ErrNotSent = errors.New("engine: request not sent")
	// ErrBroken means that an exchange ended before its answer was complete: the
	// connection was reset or silent for too long, or the answer was malformed,
	// truncated or lacked an event.
	ErrBroken = errors.New("engine: exchange broken")
	// ErrMismatch means that an answer carried another request's ID. The
	// connection is closed and the answer is discarded.
	ErrMismatch = errors.New("engine: answer to another request")
	// ErrUnknownStream means that the engine has no stream with the request ID.
	ErrUnknownStream = errors.New("engine: unknown stream")
)

// StatusError is an answer with an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the beginning of the answer's body.
	Body []byte
}

// Error describes the answer by its status only, because the body may contain a prompt.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: answered with status %d", e.Status)
}
