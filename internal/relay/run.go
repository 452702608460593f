package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/resume"
)

// run is one job under way. One goroutine carries it.
type run struct {
	relay  *Relay
	job    Job
	sink   Sink
	follow *resume.Follow
	// caller is the caller's context. It ends when he goes away.
	caller context.Context
	// ctx is the stream's. It outlives the caller for the grace time.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// unwatch stops waiting for the caller to go.
	unwatch func() bool
	reading *reading
	missed  sync.Once
	grant   *dispatch.Grant
	at      Place
	avoid   []string
	last    int64
	gone    bool
	result  Result
}

func newRun(r *Relay, caller context.Context, j Job, sink Sink) *run {
	x := &run{relay: r, job: j, sink: sink, follow: resume.NewFollow(r.options.Follow), caller: caller, at: j.At, last: j.AfterID}
	detached := context.WithoutCancel(caller)
	stop := func() {}
	if deadline, ok := caller.Deadline(); ok {
		detached, stop = context.WithDeadline(detached, deadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(detached)
	watch := context.AfterFunc(caller, x.callerGone)
	x.unwatch = func() bool {
		stop()
		return watch()
	}
	x.reading = r.open.add(j.StreamID, func() { x.cancel(ErrTakenOver) })
	return x
}

// callerGone lets the stream go on for the grace time: the caller may come back,
// here or at another VM, and would find his answer cut off.
func (x *run) callerGone() {
	x.missed.Do(func() {
		timer := time.AfterFunc(x.relay.options.Grace, func() { x.cancel(ErrCallerGone) })
		context.AfterFunc(x.ctx, func() { timer.Stop() })
	})
}

func (x *run) close() {
	x.unwatch()
	x.cancel(nil)
	x.relay.open.remove(x.job.StreamID, x.reading)
	x.leave(true)
}

// leave gives the engine's place back.
func (x *run) leave(healthy bool) {
	if x.grant == nil {
		return
	}
	tokens := x.result.Events
	if x.result.Sent {
		tokens += x.job.PromptTokens
	}
	x.grant.Finish(healthy, tokens)
	x.grant = nil
}

// carry goes from one exchange to the next until the stream is whole.
func (x *run) carry() error {
	stream, err := x.start()
	for {
		if err == nil {
			err = x.pass(stream)
			stream.Close()
		}
		if err == nil && x.gone {
			return ErrCallerGone
		}
		if err == nil {
			return nil
		}
		if cause := context.Cause(x.ctx); cause != nil {
			return x.ended(cause)
		}
		next, done, failed := x.recover(err)
		if done {
			return failed
		}
		stream, err = next, failed
	}
}

// start begins the stream, or the reading of its rest.
func (x *run) start() (*engine.Stream, error) {
	if x.job.Body == nil {
		x.result.Sent = true
		return x.reopen()
	}
	return x.begin()
}

// begin sends the request to an engine that Acquire gives.
func (x *run) begin() (*engine.Stream, error) {
	// A caller who has gone before anything was sent wants nothing any more.
	waiting := x.ctx
	if !x.result.Sent {
		waiting = x.caller
	}
	grant, err := x.job.Acquire(waiting, x.avoid)
	if errors.Is(err, dispatch.ErrNoReplica) && len(x.avoid) > 0 {
		x.avoid = nil
		grant, err = x.job.Acquire(waiting, nil)
	}
	if err != nil {
		return nil, &acquireError{err}
	}
	x.grant = grant
	x.at = Place{Engine: grant.Upstream.Name, URL: grant.Upstream.URL}
	stream, err := x.relay.options.Engines.Complete(x.ctx, engine.Request{
		BaseURL: x.at.URL, Path: x.job.Path, RequestID: x.job.StreamID,
		Priority: x.job.Priority, Body: x.job.Body, AfterID: x.last,
	})
	x.result.Sent = x.result.Sent || !errors.Is(err, engine.ErrNotSent)
	return x.attach(stream, err)
}

// reopen reads the rest of the stream from the engine where it is.
func (x *run) reopen() (*engine.Stream, error) {
	after := x.last
	if x.relay.rereads {
		after = 0
	}
	stream, err := x.relay.options.Engines.Resume(x.ctx, x.at.URL, x.job.StreamID, after)
	return x.attach(stream, err)
}

func (x *run) attach(stream *engine.Stream, err error) (*engine.Stream, error) {
	if err != nil {
		return nil, err
	}
	if err := x.sink.Attach(x.at); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// pass hands the events of one exchange on.
func (x *run) pass(stream *engine.Stream) error {
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		x.follow.Progress()
		if !event.Done {
			x.last = event.ID
			x.result.Events++
			x.noteUsage(event.Data)
		}
		x.deliver(event)
	}
}

// usageField is how a chunk that carries a usage looks.
var usageField = []byte(`"usage":{`)

// noteUsage keeps the engine's count, which comes with the last chunk.
func (x *run) noteUsage(data []byte) {
	if !bytes.Contains(data, usageField) {
		return
	}
	var chunk struct {
		Usage *Usage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil && chunk.Usage.PromptTokens >= 0 && chunk.Usage.CompletionTokens >= 0 {
		x.result.Usage = chunk.Usage
	}
}

// deliver gives an event to the caller. Once he has gone, events are only counted.
func (x *run) deliver(event engine.Event) {
	if x.gone {
		return
	}
	if err := x.sink.Event(event); err != nil {
		x.gone = true
		x.callerGone()
	}
}

// acquireError is an error of Job.Acquire.
type acquireError struct{ error }

// Unwrap returns the error.
func (e *acquireError) Unwrap() error { return e.error }

// recover takes the next step after a break. With done set, the run ends with the
// error, which may be nil.
func (x *run) recover(cause error) (stream *engine.Stream, done bool, err error) {
	var acquire *acquireError
	if errors.As(cause, &acquire) {
		return nil, true, x.unacquired(acquire.error)
	}
	step, pause := x.follow.Broke(breakOf(cause))
	if step == resume.Move && x.job.Body == nil {
		step = resume.GiveUp
	}
	switch step {
	case resume.Resume:
		x.pause(pause)
		stream, err = x.reopen()
		return stream, false, err
	case resume.Move:
		x.abandon()
		stream, err = x.begin()
		return stream, false, err
	}
	x.abandon()
	var status *engine.StatusError
	if errors.As(cause, &status) {
		return nil, true, cause
	}
	return nil, true, &lostError{cause}
}

// lostError is the loss of a stream with its cause.
type lostError struct{ cause error }

// Error names both.
func (e *lostError) Error() string { return ErrLost.Error() + ": " + e.cause.Error() }

// Unwrap returns both.
func (e *lostError) Unwrap() []error { return []error{ErrLost, e.cause} }

// unacquired is the end of a job that gets no engine.
func (x *run) unacquired(err error) error {
	if x.result.Sent {
		return errors.Wrap(ErrLost, err.Error())
	}
	return err
}

// abandon leaves an engine that has failed the job, and tells it to stop in case
// it still works on it.
func (x *run) abandon() {
	if x.grant == nil {
		return
	}
	x.avoid = append(x.avoid, x.at.Engine)
	x.stopEngine()
	x.leave(false)
}

// stopEngine cancels the generation without waiting for the answer.
func (x *run) stopEngine() {
	client, at, id := x.relay.options.Engines, x.at, x.job.StreamID
	go func() { _ = client.Cancel(context.WithoutCancel(x.ctx), at.URL, id) }()
}

func (x *run) pause(d time.Duration) {
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// ended is the end of a job whose context has ended. Unless another VM has the
// stream now, nobody will read it.
func (x *run) ended(cause error) error {
	if !errors.Is(cause, ErrTakenOver) && x.at.URL != "" {
		x.stopEngine()
	}
	return cause
}
