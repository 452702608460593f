package traffic

import (
	"context"
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

// Request is a caller's request, read whole.
type Request struct {
	// ID names this attempt of the caller.
	ID string
	// Host and Path select the route; Target is the path and query as they came.
	Host, Path, Target string
	Method             string
	// Header is what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty if it sent none.
	Key string
	// Arrived is when the request was read.
	Arrived time.Time
	// Wait is how long the caller waits from Arrived. Zero means that it does not say.
	Wait time.Duration
	// Model and Adapter are empty for plain services; Adapter for base models.
	Model, Adapter string
	// PromptTokens and OutputTokens are the size of the prompt and the most that
	// may be generated. Counted says that the caller gave them.
	PromptTokens, OutputTokens int
	Counted                    bool
	// Parts is the prompt in order.
	Parts []PromptPart
	// LengthHint is the caller's estimate of the tokens generated, 0 if none.
	LengthHint int
}

// expectedOutput is the caller's estimate of the tokens generated where there is
// one, else the most that may be.
func (q *Request) expectedOutput() int {
	if q.LengthHint > 0 {
		return min(q.LengthHint, q.OutputTokens)
	}
	return q.OutputTokens
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request  *Request
	Instance *upstream.Instance
	// Team is the name of the team whose key came with the request, empty on
	// anonymous routes.
	Team string
	// Left is how long the upstream may work.
	Left time.Duration
	// Priority is from 0, the most urgent, to 9. Only engines know it.
	Priority int
	// ResumeAfter is the ID of the last event that the caller has, empty for a
	// new stream.
	ResumeAfter string
}

// Reply is an upstream's answer whose body has not been read yet.
type Reply struct {
	Status int
	// Header is what goes to the caller.
	Header http.Header
	// NotExecuted means that the upstream states that it did not run the request.
	NotExecuted bool
	// Misdirected means that another instance has the address, or that the item
	// is not there.
	Misdirected bool
	// Signed means that the answer carries the upstream's signature.
	Signed bool
	// Body ends with io.EOF only if the answer is complete.
	Body io.Reader
	// Close ends the exchange; keep says that the body was read to its end.
	Close func(keep bool)
}

var (
	// ErrNotSent means that the upstream cannot have seen the request.
	ErrNotSent = errors.New("traffic: the request was not sent")
	// ErrUnknown means that the request was sent and nobody can know whether it ran.
	ErrUnknown = errors.New("traffic: the request may have run")
	// ErrForeignReply means that an answer to another request came. The request
	// itself may have run.
	ErrForeignReply = errors.New("traffic: the answer belongs to another request")
	// ErrCut means that an answer ended before its end. What the caller has got
	// must not look complete.
	ErrCut = errors.New("traffic: the answer was cut")
)

// Upstreams sends attempts. Errors are ErrNotSent, ErrUnknown or ErrForeignReply,
// wrapped. Ending ctx closes the connection at once.
type Upstreams interface {
	Send(ctx context.Context, a Attempt) (*Reply, error)
}

// Refusal is an answer of our own.
type Refusal struct {
	Status int
	// Reason is a short code for programs, Detail a sentence for people.
	Reason, Detail string
	// RetryAfter tells the caller when to come back. Zero says nothing.
	RetryAfter time.Duration
}

// Sink takes the answer for the caller.
type Sink interface {
	// Refuse gives an answer of our own.
	Refuse(r Refusal)
	// Whole gives an upstream's complete answer.
	Whole(status int, header http.Header, body []byte)
	// Begin starts an upstream's answer that is passed on as it comes.
	Begin(status int, header http.Header)
	// Pass passes a piece on. It is visible to the caller after Flush.
	Pass(piece []byte) error
	Flush() error
}
