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
	// ErrLost means that a stream failed and could not be continued.
	ErrLost = errors.New("relay: stream lost")
	// ErrCallerGone means that the caller disconnected and did not reconnect within
	// the grace period.
	ErrCallerGone = errors.New("relay: caller gone")
	// ErrTakenOver means that the caller now reads the stream over another
	// connection, at this or another VM.
	ErrTakenOver = errors.New("relay: stream taken over by another VM")
)

// DefaultGrace is the default of Options.Grace.
const DefaultGrace = 10 * time.Second

// Options configures a Relay.
type Options struct {
	// Engines is the client of the engines.
	Engines *engine.Client
	// Recovery bounds the recovery of a failed stream.
	Recovery resume.Options
	// Grace is how long a stream continues after its caller has disconnected, before
	// its generation is cancelled. The default is 10s.
	Grace time.Duration
}

// Relay forwards streams from engines to callers. It is safe for concurrent use.
type Relay struct {
	options  Options
	sessions *registry
	// rereads is a fault that tests plant: a failed stream is read again from its start.
	rereads bool
}

// New returns a relay.
func New(o Options) *Relay {
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	return &Relay{options: o, sessions: newRegistry()}
}

// Release stops reading a stream because the caller now reads it at another VM. The
// engine is not stopped. It reports whether this VM was reading the stream.
func (r *Relay) Release(streamID string) bool {
	return r.sessions.release(streamID)
}

// Location identifies the engine that generates a stream.
type Location struct {
	// Engine is the engine's name.
	Engine string
	// URL is the engine's base address.
	URL string
}

// Sink receives the events of a stream for the caller. Its methods are called from one
// goroutine.
type Sink interface {
	// Attach reports which engine generates the events that follow.
	Attach(p Location) error
	// Event passes on one event. An error means that the caller has disconnected.
	Event(e engine.Event) error
}

// Job is one completion.
type Job struct {
	// StreamID identifies the stream at the engines. It is never reused.
	StreamID string
	// Path is the path of the request at the engine.
	Path string
	// Priority is higher for requests that are to run first.
	Priority int
	// Body is the request body for the engine, or nil if only the rest of an existing
	// stream is requested. Such a stream cannot be moved to another engine.
	Body []byte
	// PromptTokens is the cost of processing the prompt, in tokens.
	PromptTokens int64
	// Location is the engine that generates the stream, if only its rest is requested.
	Location Location
	// AfterID is the ID of the last event that the caller has received, or 0.
	AfterID int64
	// Acquire waits for an engine. The engines in avoid have failed the job.
	Acquire func(ctx context.Context, avoid []string) (*dispatch.Grant, error)
}

// Usage holds the token counts reported by an engine.
type Usage struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int64 `json:"prompt_tokens"`
	// CompletionTokens is the number of generated tokens.
	CompletionTokens int64 `json:"completion_tokens"`
}

// Result describes a finished job.
type Result struct {
	// Events is the number of events that engines have sent for the job.
	Events int64
	// Usage holds the engine's own token counts, or is nil if it has sent none.
	Usage *Usage
	// Sent means that the request may have reached an engine.
	Sent bool
}

// Run executes a job to its end. The error is nil if the answer is complete. Otherwise
// it is the error of Acquire, if the request was never sent, or it is or wraps ErrLost,
// ErrCallerGone, ErrTakenOver, a *engine.StatusError, or the error of ctx. The caller
// counts as disconnected when ctx is cancelled; at ctx's deadline the stream ends.
func (r *Relay) Run(ctx context.Context, j Job, sink Sink) (Result, error) {
	run := newRun(r, ctx, j, sink)
	defer run.close()
	err := run.relayStream()
	return run.result, err
}

// failureOf classifies the error of an exchange.
func failureOf(err error) resume.Failure {
	var status *engine.StatusError
	switch {
	case errors.Is(err, engine.ErrNotSent):
		return resume.NotSent
	case errors.Is(err, engine.ErrUnknownStream):
		return resume.UnknownStream
	case errors.As(err, &status):
		return failureOfStatus(status.Status)
	}
	return resume.Broken
}

// failureOfStatus distinguishes a problem of the engine, which another engine may not
// have, from a faulty request. An engine that does not have the model answers 404.
func failureOfStatus(status int) resume.Failure {
	switch {
	case status >= http.StatusInternalServerError:
		return resume.Refused
	case status == http.StatusNotFound, status == http.StatusTooManyRequests, status == http.StatusConflict:
		return resume.Refused
	}
	return resume.Invalid
}
