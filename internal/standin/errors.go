package standin

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrUnknownKind means that a configuration names a kind of stand-in that
	// does not exist.
	ErrUnknownKind = errors.New("standin: unknown kind")
	// ErrNotIPAddress means that a listen address is not "IP:port".
	ErrNotIPAddress = errors.New("standin: listen address is not IP:port")
	// ErrDuplicateName means that two stand-ins have the same name.
	ErrDuplicateName = errors.New("standin: duplicate name")
	// ErrOverLimit means that the weight store was asked for more than it allows.
	ErrOverLimit = errors.New("standin: weight store over its limit")
)

// StatusError is an unexpected HTTP status from a stand-in.
type StatusError struct {
	// URL is what was asked.
	URL string
	// Status is the HTTP status code.
	Status int
	// Body is the start of the answer.
	Body string
}

// Error names the URL, the status and the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("standin: %s answered %d: %s", e.URL, e.Status, e.Body)
}
