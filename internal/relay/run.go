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

// run is the state of one running job. It is used by one goroutine, except for
// startGrace and the callbacks that cancel its context.
type run struct {
	relay    *Relay
	job      Job
	sink     Sink
	recovery *resume.Recovery
	// callerCtx is the caller's context. It ends when the caller disconnects.
	callerCtx context.Context
	// ctx is the stream's context. It outlives callerCtx by the grace period.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stopWatch stops watching callerCtx and releases the timer of ctx's deadline.
	stopWatch  func() bool
	session    *session
	graceOnce  sync.Once
	grant      *dispatch.Grant
	location   Location
	avoid      []string
	lastID     int64
	callerGone bool
	result     Result
}

func newRun(r *Relay, caller context.Context, j Job, sink Sink) *run {
	x := &run{relay: r, job: j, sink: sink, recovery: resume.NewRecovery(r.options.Recovery), callerCtx: caller, location: j.Location, lastID: j.AfterID}
	detached := context.WithoutCancel(caller)
	stop := func() {}
	if deadline, ok := caller.Deadline(); ok {
		detached, stop = context.WithDeadline(detached, deadline)
	}
	x.ctx, x.cancel = context.WithCancelCause(detached)
	unregister := context.AfterFunc(caller, x.startGrace)
	x.stopWatch = func() bool {
		stop()
		return unregister()
	}
	x.session = r.sessions.add(j.StreamID, func() { x.cancel(ErrTakenOver) })
	return x
}

// startGrace cancels the stream after the grace period. The stream continues until then
// because a caller who reconnects, here or at another VM, would otherwise get a
// truncated answer.
func (x *run) startGrace() {
	x.graceOnce.Do(func() {
		timer := time.AfterFunc(x.relay.options.Grace, func() { x.cancel(ErrCallerGone) })
		context.AfterFunc(x.ctx, func() { timer.Stop() })
	})
}

func (x *run) close() {
	x.stopWatch()
	x.cancel(nil)
	x.relay.sessions.remove(x.job.StreamID, x.session)
	x.finishGrant(true)
}

// finishGrant returns the grant, which releases the engine's capacity, and reports the
// tokens used. It does nothing without a grant.
func (x *run) finishGrant(healthy bool) {
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

// relayStream runs one exchange after the other until the stream is complete or cannot
// be continued.
func (x *run) relayStream() error {
	stream, err := x.open()
	for {
		if err == nil {
			err = x.forward(stream)
			stream.Close()
		}
		if err == nil && x.callerGone {
			return ErrCallerGone
		}
		if err == nil {
			return nil
		}
		if cause := context.Cause(x.ctx); cause != nil {
			return x.stopAfter(cause)
		}
		next, done, failed := x.recoverFrom(err)
		if done {
			return failed
		}
		stream, err = next, failed
	}
}

// open starts the stream, or resumes it if the job asks only for its rest.
func (x *run) open() (*engine.Stream, error) {
	if x.job.Body == nil {
		x.result.Sent = true
		return x.resume()
	}
	return x.send()
}

// send acquires an engine and sends the request to it.
func (x *run) send() (*engine.Stream, error) {
	// Until the request has been sent, a caller who disconnects cancels the job
	// without a grace period.
	acquireCtx := x.ctx
	if !x.result.Sent {
		acquireCtx = x.callerCtx
	}
	grant, err := x.job.Acquire(acquireCtx, x.avoid)
	if errors.Is(err, dispatch.ErrNoReplica) && len(x.avoid) > 0 {
		x.avoid = nil
		grant, err = x.job.Acquire(acquireCtx, nil)
	}
	if err != nil {
		return nil, &acquireError{err}
	}
	x.grant = grant
	x.location = Location{Engine: grant.Upstream.Name, URL: grant.Upstream.URL}
	stream, err := x.relay.options.Engines.Complete(x.ctx, engine.Request{
		BaseURL: x.location.URL, Path: x.job.Path, RequestID: x.job.StreamID,
		Priority: x.job.Priority, Body: x.job.Body, AfterID: x.lastID,
	})
	x.result.Sent = x.result.Sent || !errors.Is(err, engine.ErrNotSent)
	return x.attach(stream, err)
}

// resume requests the rest of the stream from the engine that generates it.
func (x *run) resume() (*engine.Stream, error) {
	after := x.lastID
	if x.relay.rereads {
		after = 0
	}
	stream, err := x.relay.options.Engines.Resume(x.ctx, x.location.URL, x.job.StreamID, after)
	return x.attach(stream, err)
}

func (x *run) attach(stream *engine.Stream, err error) (*engine.Stream, error) {
	if err != nil {
		return nil, err
	}
	if err := x.sink.Attach(x.location); err != nil {
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// forward passes the events of one exchange to the sink.
func (x *run) forward(stream *engine.Stream) error {
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		x.recovery.Progress()
		if !event.Done {
			x.lastID = event.ID
			x.result.Events++
			x.recordUsage(event.Data)
		}
		x.deliver(event)
	}
}

// usageField is contained in every chunk that carries a usage.
var usageField = []byte(`"usage":{`)

// recordUsage stores the engine's token counts, which arrive in the last chunk.
func (x *run) recordUsage(data []byte) {
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

// deliver passes an event to the sink. After the sink has failed, events are discarded;
// they still count in the result.
func (x *run) deliver(event engine.Event) {
	if x.callerGone {
		return
	}
	if err := x.sink.Event(event); err != nil {
		x.callerGone = true
		x.startGrace()
	}
}

// acquireError is an error of Job.Acquire.
type acquireError struct{ error }

// Unwrap returns the error.
func (e *acquireError) Unwrap() error { return e.error }

// recoverFrom takes the next step after a failed exchange. If done is true, the run ends
// with err.
func (x *run) recoverFrom(cause error) (stream *engine.Stream, done bool, err error) {
	var acquire *acquireError
	if errors.As(cause, &acquire) {
		return nil, true, x.acquireFailed(acquire.error)
	}
	step, pause := x.recovery.NextStep(failureOf(cause))
	if step == resume.Move && x.job.Body == nil {
		step = resume.GiveUp
	}
	switch step {
	case resume.Resume:
		x.wait(pause)
		stream, err = x.resume()
		return stream, false, err
	case resume.Move:
		x.abandonEngine()
		stream, err = x.send()
		return stream, false, err
	}
	x.abandonEngine()
	var status *engine.StatusError
	if errors.As(cause, &status) {
		return nil, true, cause
	}
	return nil, true, &lostError{cause}
}

// lostError is ErrLost with its cause.
type lostError struct{ cause error }

// Error returns the texts of ErrLost and the cause.
func (e *lostError) Error() string { return ErrLost.Error() + ": " + e.cause.Error() }

// Unwrap returns ErrLost and the cause.
func (e *lostError) Unwrap() []error { return []error{ErrLost, e.cause} }

// acquireFailed returns the error of a job for which no engine could be acquired.
func (x *run) acquireFailed(err error) error {
	if x.result.Sent {
		return errors.Wrap(ErrLost, err.Error())
	}
	return err
}

// abandonEngine finishes the grant for an engine that has failed the job and cancels the
// generation in case the engine is still working on it.
func (x *run) abandonEngine() {
	if x.grant == nil {
		return
	}
	x.avoid = append(x.avoid, x.location.Engine)
	x.stopEngine()
	x.finishGrant(false)
}

// stopEngine cancels the generation without waiting for the response.
func (x *run) stopEngine() {
	client, location, id := x.relay.options.Engines, x.location, x.job.StreamID
	go func() { _ = client.Cancel(context.WithoutCancel(x.ctx), location.URL, id) }()
}

func (x *run) wait(d time.Duration) {
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

// stopAfter ends a job whose context has ended and returns the cause. Unless another VM
// has taken over the stream, it stops the engine, because nobody will read the stream.
func (x *run) stopAfter(cause error) error {
	if !errors.Is(cause, ErrTakenOver) && x.location.URL != "" {
		x.stopEngine()
	}
	return cause
}
