package admit

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrDeadline means that a request cannot be finished by its deadline.
	ErrDeadline = errors.New("admit: deadline cannot be met")
	// ErrFull means that the queue is full and that the request's team holds the
	// largest part of it for its weight.
	ErrFull = errors.New("admit: queue full")
)

// Request is one queued request.
type Request struct {
	// ID is unique in the queue.
	ID uint64
	// Team is whose it is.
	Team string
	// Class groups the requests that need the same upstreams, such as an item's
	// name.
	Class string
	// Tokens is what it is expected to cost.
	Tokens int64
	// Bytes is the memory that it holds while it waits.
	Bytes int64
	// Deadline is when its answer has to be whole.
	Deadline time.Time
	// Run is how long it will take at least once it has been dispatched.
	Run time.Duration
}

// late reports whether a request that starts now would miss its deadline.
func (r *Request) late(now time.Time) bool {
	return now.Add(r.Run).After(r.Deadline)
}

// Refusal is a request that was given up on. It was not run.
type Refusal struct {
	// Request is the one refused.
	Request Request
	// Cause is ErrDeadline or ErrFull.
	Cause error
	// RetryAfter is when another try has a chance.
	RetryAfter time.Duration
}

// Error describes the cause.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v, retry after %v", r.Cause, r.RetryAfter)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }
