package standin

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrUnknownKind means that a configuration names a kind of stand-in that
	// does not exist.
	ErrUnknownKind = errors.New("standin: unknown kind, want kv, engine, service, vm_list or weight_store")
	// ErrNotIPAddress means that a listen address is not "IP:port".
	ErrNotIPAddress = errors.New("standin: listen address is not IP:port")
	// ErrDuplicateName means that two stand-ins have the same name.
	ErrDuplicateName = errors.New("standin: another stand-in already has this name")
	// ErrOverLimit means that the weight store refused a load: its rate or its
	// concurrency limit was exceeded, or an outage was injected.
	ErrOverLimit = errors.New("standin: weight store over its limit")
)

// StatusError is an unexpected HTTP status from a stand-in.
type StatusError struct {
	// URL is the base URL of the stand-in.
	URL string
	// Status is the HTTP status code.
	Status int
	// Body is the start of the answer's body.
	Body string
}

// Error names the URL, the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("standin: %s answered %d: %s", e.URL, e.Status, e.Body)
}
