package assign

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoUpstream means that no instance of the service takes work.
	ErrNoUpstream = errors.New("assign: no upstream takes work")
	// ErrNotLoaded means that no engine holds the model.
	ErrNotLoaded = errors.New("assign: no engine holds the model")
	// ErrAdapterNotLoaded means that engines hold the model but none the adapter.
	ErrAdapterNotLoaded = errors.New("assign: no engine holds the adapter")
	// ErrPaced means that streams of the engines would stand still too long if they read the
	// prompt now.
	ErrPaced = errors.New("assign: the engines read as many prompts as their streams can bear")
	// ErrOverloaded means that the work would begin too late to be of use.
	ErrOverloaded = errors.New("assign: the upstreams have too much to do")
)

// Refused says why nothing was chosen and when to come back.
type Refused struct {
	// Cause is one of this package's errors.
	Cause error
	// RetryAfter is when another try has a chance.
	RetryAfter time.Duration
	// Wait means that a place may become free within the time that a request may
	// be held: try again soon.
	Wait bool
	// Best is the earliest start that was found, for logs.
	Best time.Duration
}

// Error implements error.
func (r *Refused) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refused) Unwrap() error { return r.Cause }

// Part is a leading part of a prompt: a hash over everything up to its end and the
// tokens up to there.
type Part struct {
	Hash   uint64
	Tokens int
}

// Ask is a request that needs an upstream.
type Ask struct {
	Service string
	// Model is empty for plain services.
	Model, Adapter string
	// Parts are the leading parts of the prompt, shortest first, the whole prompt last.
	Parts        []Part
	PromptTokens int
	OutputTokens int
	// Start is when the first event, or a plain service's answer, is due.
	Start time.Time
	// Pause is the longest time between two events of the answer, 0 if that is not bounded.
	Pause time.Duration
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Urgency is the request's rank, 0 first.
	Urgency int
	// Avoid names instances that failed this request.
	Avoid map[string]bool
}

// Beside is the work that was known of at an upstream when it was chosen.
type Beside struct {
	// Requests are those in flight, Others those of them that other VMs reported.
	Requests, Others int
	// PrefillTokens are the prompt tokens that waited to be read.
	PrefillTokens int
	// ReportAge is the age of the oldest report that counts, 0 if there is none.
	ReportAge time.Duration
}

// Choice is a place at an upstream. It must be finished.
type Choice struct {
	// Instance is the ID of the upstream.
	Instance string
	// Uncached is how many prompt tokens the engine is expected to read.
	Uncached int
	// Expected is the time to the first event that was worked out.
	Expected time.Duration
	// Late means that the objective can no longer be met.
	Late bool
	// Beside is the work at the upstream that was known of when it was chosen.
	Beside Beside

	node    *node
	ask     Ask
	at      time.Time
	kv      int
	started bool
	done    bool
}
