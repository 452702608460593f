package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/resume"
)

var (
	// ErrLost means that a stream broke and could not be gone on with.
	ErrLost = errors.New("relay: stream lost")
	// ErrCallerGone means that the caller went away and did not come back.
	ErrCallerGone = errors.New("relay: caller gone")
	// ErrTakenOver means that the caller reads the stream at another VM now.
	ErrTakenOver = errors.New("relay: stream taken over by another VM")
)

// DefaultGrace is the default of Options.Grace.
const DefaultGrace = 10 * time.Second

// Options configures a Relay.
type Options struct {
	// Engines is the client of the engines.
	Engines *engine.Client
	// Follow bounds how long a broken stream is followed.
	Follow resume.Options
	// Grace is how long a stream goes on after its caller has gone, before the
	// engine is told to stop. The default is 10s.
	Grace time.Duration
}

// Relay carries streams. It is safe for concurrent use.
type Relay struct {
	options Options
	open    *registry
	// rereads is a planted fault: a broken stream is read again from its start.
	rereads bool
}

// New returns a relay.
func New(o Options) *Relay {
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	return &Relay{options: o, open: newRegistry()}
}

// Release ends this VM's part in a stream because the caller reads it at another
// VM. It reports whether the stream was here.
func (r *Relay) Release(streamID string) bool {
	return r.open.release(streamID)
}

// Place is where a stream is made.
type Place struct {
	// Engine is the engine's name.
	Engine string
	// URL is its base address.
	URL string
}

// Sink takes a stream on its way to the caller. Its methods are called from one
// goroutine.
type Sink interface {
	// Attach says where the events that follow are made.
	Attach(p Place) error
	// Event passes one event on. An error means that the caller has gone.
	Event(e engine.Event) error
}

// Job is one completion.
type Job struct {
	// StreamID names the stream at the engines. It is unique for ever.
	StreamID string
	// Path is the engine's path.
	Path string
	// Priority is larger for what is to run first.
	Priority int
	// Body is the engine's request, or nil if only the rest of a stream is asked
	// for. Then the stream cannot be moved.
	Body []byte
	// PromptTokens is what reading the prompt costs.
	PromptTokens int64
	// At is where the stream is, if only its rest is asked for.
	At Place
	// AfterID is the last event that the caller has.
	AfterID int64
	// Acquire waits for an engine. Engines to avoid have failed the job.
	Acquire func(ctx context.Context, avoid []string) (*dispatch.Grant, error)
}

// Usage is what an engine has counted.
type Usage struct {
	// PromptTokens are those of the prompt.
	PromptTokens int64 `json:"prompt_tokens"`
	// CompletionTokens are those of the answers.
	CompletionTokens int64 `json:"completion_tokens"`
}

// Result says how a job ended.
type Result struct {
	// Events is the number of events that engines have sent for the job.
	Events int64
	// Usage is the engine's own count, if it has given one.
	Usage *Usage
	// Sent means that the request may have reached an engine.
	Sent bool
}

// Run carries a job to its end. The error is nil if the answer is whole. Else it
// is Acquire's, if the request was never sent, or it is or wraps ErrLost,
// ErrCallerGone, ErrTakenOver, a *engine.StatusError, or ctx's error. The caller
// counts as gone when ctx is cancelled; at ctx's deadline the stream ends.
func (r *Relay) Run(ctx context.Context, j Job, sink Sink) (Result, error) {
	run := newRun(r, ctx, j, sink)
	defer run.close()
	err := run.carry()
	return run.result, err
}

// breakOf says what an error means for the stream.
func breakOf(err error) resume.Break {
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return resume.NotSent
	case errors.Is(err, engine.ErrUnknownStream):
		return resume.UnknownStream
	case errors.As(err, &status):
		return breakOfStatus(status.Status)
	}
	return resume.Broken
}

// breakOfStatus tells an engine's trouble, which another engine may not have, from
// a fault of the request. An engine that lacks the model answers 404.
func breakOfStatus(status int) resume.Break {
	switch {
	case status >= http.StatusInternalServerError:
		return resume.Refused
	case status == http.StatusNotFound, status == http.StatusTooManyRequests, status == http.StatusConflict:
		return resume.Refused
	}
	return resume.Invalid
}
