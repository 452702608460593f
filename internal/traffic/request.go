package traffic

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// PromptPart is one part of a prompt. Requests with the same leading parts share
// them in an engine's KV cache.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is a caller's request with its complete body.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Host and Path select the route; Target is the path and query as received.
	Host, Path, Target string
	Method             string
	// Header holds the headers that are forwarded unchanged, among them Host as the caller sent it.
	Header http.Header
	Body   []byte
	// ReleaseBody, unless nil, gives the memory of Body back, which must not be used any more.
	ReleaseBody func()
	// Key is the caller's key, empty if it sent none.
	Key string
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Timeout is the caller's timeout, counted from Arrived. Zero means that it sent none.
	Timeout time.Duration
	// Model and Adapter are empty for plain services, Adapter also for base models.
	Model, Adapter string
	// PromptTokens is the size of the prompt and OutputTokens the largest number of
	// tokens that may be generated. TokensDeclared means that the caller
	// sent both.
	PromptTokens, OutputTokens int
	TokensDeclared             bool
	// Parts holds the parts of the prompt in order.
	Parts []PromptPart
	// ResumeAfter is the ID of the last event that the caller has received of a stream that it resumes, empty for a new
	// request. Resumes is the ID of the attempt that brought the stream's first event, empty if the caller names none.
	ResumeAfter, Resumes string
	// LengthHint is the caller's estimate of the number of generated tokens, 0 if none.
	LengthHint int
}

// expectedOutput returns the caller's estimate of the number of generated tokens, limited
// to OutputTokens, or OutputTokens if there is no estimate.
func (q *Request) expectedOutput() int {
	if q.LengthHint > 0 {
		return min(q.LengthHint, q.OutputTokens)
	}
	return q.OutputTokens
}

// sharedParts returns the IDs of the prompt's parts but the last, which belongs to the request itself.
func (q *Request) sharedParts() []string {
	out := make([]string, 0, len(q.Parts))
	for i := range len(q.Parts) - 1 {
		out = append(out, q.Parts[i].ID)
	}
	return out
}

// Attempt is one send of a request to an upstream.
type Attempt struct {
	Request  *Request
	Instance *upstream.Instance
	// Team is the name of the team that holds the request's key, empty on anonymous
	// routes.
	Team string
	// TimeLeft is the time left until the request's deadline.
	TimeLeft time.Duration
	// Priority ranges from 0, the most urgent, to 9. Only engines use it.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has received, empty for
	// a new stream.
	ResumeAfter string
	// AvoidConnections are the connections on which the attempt was sent before. A second answer to it may come on them,
	// which nothing tells from the answer to this send.
	AvoidConnections []int64
	// BeforeWrite, unless nil, is called once there is a connection, before the first byte is written. If it
	// returns an error, nothing is written, and Send returns that error, wrapped.
	BeforeWrite func() error
}

// Reply is an upstream's response whose body has not been read yet.
type Reply struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	// NotExecuted means that the upstream states that it did not run the request.
	NotExecuted bool
	// Misdirected means that another instance has the address, or that the engine does
	// not hold the model or adapter.
	Misdirected bool
	// Signed means that the response carries the upstream's signature.
	Signed bool
	// Connection identifies the connection on which the response came among those of this process, Uses is the number of
	// requests that were sent on it so far.
	Connection int64
	Uses       int
	// Skipped is the number of answers to earlier requests that came before this one.
	Skipped int
	// RateLimit is what the response says about the upstream's rate limit. RateLimitError is set if
	// that cannot be read.
	RateLimit      upstream.RateLimit
	RateLimitError error
	// BrittleError is set if the response says that its upstream is brittle and not, how many requests it may reject.
	BrittleError error
	// Pushback is what the response says about later requests. PushbackError is set if a part of it
	// cannot be read.
	Pushback      upstream.Pushback
	PushbackError error
	// Load is what the response says about the upstream's own work. LoadError is set if that cannot be read.
	Load      upstream.ReportedLoad
	LoadError error
	// Length is the length of the body in bytes if the response states one, else 0 or negative.
	Length int64
	// Body ends with io.EOF only if the response is complete.
	Body io.Reader
	// Written, unless nil, reports whether the whole request has been written. It must not be called after Close.
	Written func() bool
	// Close ends the exchange. keep means that the body was read to its end, so that the
	// connection may be reused.
	Close func(keep bool)
}

var (
	// ErrNotSent means that the upstream cannot have received the request.
	ErrNotSent = errors.New("traffic: the request was not sent")
	// ErrWithdrawn means that the request was not sent because its upstream takes no requests any more.
	ErrWithdrawn = errors.New("traffic: the upstream takes no requests any more")
	// ErrVersionUnknown means that it is not known which software version began a stream that is to be resumed.
	ErrVersionUnknown = errors.New("traffic: the version that began the stream is not known")
	// ErrStopping means that this VM stops before the request could be answered.
	ErrStopping = errors.New("traffic: this VM stops")
	// ErrQuarantined means that the request was not sent because upstreams have ended under it.
	ErrQuarantined = errors.New("traffic: upstreams have ended under the request")
	// ErrUnknown means that the request was sent and may or may not have run.
	ErrUnknown = errors.New("traffic: the request may have run")
	// ErrMismatchedReply means that the response does not name the attempt, or is a success
	// without the upstream's signature. The request itself may have run.
	ErrMismatchedReply = errors.New("traffic: the answer belongs to another request")
	// ErrTruncated means that a response ended before it was complete. What the caller
	// has received must not look complete.
	ErrTruncated = errors.New("traffic: the response was truncated")
)

// OversizedError means that an upstream sent more than is kept of its answer. It is an ErrUnknown.
type OversizedError struct {
	// Part is what is too large: "head", "event" or "answer". Bound is its largest size in bytes.
	Part  string
	Bound int
}

// Error implements error.
func (e *OversizedError) Error() string {
	return fmt.Sprintf("traffic: the %s of the upstream's answer is larger than %d bytes, or there is no room for it", e.Part, e.Bound)
}

// Unwrap returns ErrUnknown.
func (e *OversizedError) Unwrap() error { return ErrUnknown }

// oversizedIn returns the OversizedError in an error, nil if there is none.
func oversizedIn(err error) *OversizedError {
	var oversized *OversizedError
	errors.As(err, &oversized)
	return oversized
}

// Upstreams sends attempts. Errors are ErrNotSent, ErrUnknown, ErrMismatchedReply or that of
// Attempt.BeforeWrite, wrapped. Cancelling ctx closes the connection at once.
type Upstreams interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// Refusal is a response that this VM gives instead of an upstream's.
type Refusal struct {
	Status int
	// Reason is a machine-readable code, Detail a sentence for people.
	Reason, Detail string
	// RetryAfter is the delay after which the caller should retry. Zero means that none is
	// given.
	RetryAfter time.Duration
}

// Sink writes the response to the caller.
type Sink interface {
	// Refuse writes a refusal of this VM.
	Refuse(r Refusal)
	// WriteResponse writes an upstream's complete response.
	WriteResponse(status int, header http.Header, body []byte)
	// Begin starts an upstream's response whose body follows in calls of WriteChunk.
	Begin(status int, header http.Header)
	// WriteChunk writes a piece of the body. It reaches the caller after Flush.
	WriteChunk(piece []byte) error
	Flush() error
}
