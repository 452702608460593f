package admit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrDeadline means that a request cannot be finished by its deadline.
	ErrDeadline = errors.New("admit: request deadline cannot be met")
	// ErrFull means that the queue is full and that the request's team has the most
	// queued requests relative to its weight, or that the request alone is larger
	// than Options.MaxBytes.
	ErrFull = errors.New("admit: queue full")
)

// Request is one queued request.
type Request struct {
	// ID is unique in the queue.
	ID uint64
	// Team is the team that the request belongs to.
	Team string
	// Class identifies the requests that need the same upstreams, such as an item's
	// name.
	Class string
	// Tokens is the expected cost.
	Tokens int64
	// Bytes is the memory in bytes that the request holds while it is queued.
	Bytes int64
	// Deadline is when the response must be complete.
	Deadline time.Time
	// MinRunTime is the minimum time from dispatch to the complete response.
	MinRunTime time.Duration
}

// isLate reports whether a request that starts now would miss its deadline.
func (r *Request) isLate(now time.Time) bool {
	return now.Add(r.MinRunTime).After(r.Deadline)
}

// Refusal is a refused request. It was not dispatched.
type Refusal struct {
	// Request is the refused request.
	Request Request
	// Cause is ErrDeadline or ErrFull.
	Cause error
	// RetryAfter is the estimated time after which a retry could succeed.
	RetryAfter time.Duration
}

// Error returns the cause and the time to wait before a retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v, retry after %v", r.Cause, r.RetryAfter)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }
