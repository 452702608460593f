package traffic

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// This file forwards answers of services without engines while memory is bounded. A small answer is read whole, so that an
// idempotent request can be sent again if it is truncated or a failure. A larger one is forwarded as it arrives.

const (
	// maxSmallAnswer bounds an answer that is read whole, in bytes: the kernel's send buffer takes it, so that it does not
	// wait in this process for its reader.
	maxSmallAnswer = 16 << 10
	// maxSmallFailure is the same for a failure, which is kept while the request is sent again.
	maxSmallFailure = 64 << 10
	// minWriteTime is the time that a caller has at least to take an answer, which may come just before its deadline.
	minWriteTime = time.Second
)

var (
	// ErrHeldTooLong means that an answer was ended because its reader stalled and the memory was needed for others.
	ErrHeldTooLong = errors.New("traffic: the answer was held for a stalled reader and its memory was needed")
	// ErrCallerStalled means that a caller did not take its answer before its deadline, or closed its connection.
	ErrCallerStalled = errors.New("traffic: the caller did not take the answer")
)

// writeDeadliner is a Sink whose blocked writes can be ended.
type writeDeadliner interface {
	// SetWriteDeadline makes writes fail after t.
	SetWriteDeadline(t time.Time) error
}

// unreadDeadliner is a Sink whose caller may leave what it has been sent unread.
type unreadDeadliner interface {
	// AllowUnreadUntil lets the caller leave the answer unread until t.
	AllowUnreadUntil(t time.Time)
}

// boundWrites makes writes to the caller fail once its deadline has passed: one that reads nothing blocks them.
func (j *job) boundWrites() {
	if j.core.options.Answers == nil {
		return
	}
	j.setWriteDeadline(time.Now().Add(max(time.Until(j.deadline), minWriteTime)))
}

func (j *job) setWriteDeadline(t time.Time) {
	if sink, ok := j.sink.(writeDeadliner); ok {
		// An error means that the connection is gone or has no deadlines: writes end with the connection.
		_ = sink.SetWriteDeadline(t)
	}
}

// forwardAnswer forwards an answer whose body has not been read. ctx ends the exchange, and cancel ends ctx.
func (j *job) forwardAnswer(ctx context.Context, cancel func(), choice *assign.Choice, reply *Reply, silence *handover) *failure {
	if j.core.options.Answers == nil {
		return j.forwardBuffered(choice, reply)
	}
	limit := maxSmallAnswer
	if reply.Status >= http.StatusInternalServerError {
		limit = maxSmallFailure
	}
	beginning, whole, err := readBeginning(reply, limit)
	switch {
	case err != nil:
		reply.Close(false)
		return j.failedBy(choice, errors.Wrapf(ErrUnknown, "%s: %v", choice.Instance, err))
	case whole:
		reply.Close(true)
		return j.forwardWhole(choice, reply, beginning)
	}
	return j.forwardHeld(ctx, cancel, choice, reply, silence, beginning)
}

// readBeginning reads up to limit bytes of an answer's body. whole means that there are no more.
func readBeginning(reply *Reply, limit int) (beginning []byte, whole bool, err error) {
	size := 512
	if 0 < reply.Length && reply.Length <= int64(limit) {
		// One byte more, so that the end is seen without growing.
		size = int(reply.Length) + 1
	}
	beginning = make([]byte, 0, size)
	for len(beginning) < limit {
		if len(beginning) == cap(beginning) {
			beginning = append(beginning, 0)[:len(beginning)]
		}
		n, err := reply.Body.Read(beginning[len(beginning):min(cap(beginning), limit)])
		beginning = beginning[:len(beginning)+n]
		if err == io.EOF {
			return beginning, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return beginning, false, nil
}

// forwardHeld forwards an answer, of which the beginning has been read, at the pace of its caller. What its caller has not
// taken is held in memory as far as there is room, and otherwise waits at the upstream.
func (j *job) forwardHeld(ctx context.Context, cancel func(), choice *assign.Choice, reply *Reply, silence *handover, beginning []byte) *failure {
	if silence.stop() != nil || !j.beginResponse() {
		reply.Close(false)
		return j.failedBy(choice, errors.Wrapf(ErrUnknown, "%s: given up after %d bytes", choice.Instance, len(beginning)))
	}
	j.answerBegun = true
	j.noteStarted(choice)
	// The hash is of the body as well, and is asked for later.
	j.contentsHash()
	if reply.Length > 0 {
		reply.Header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	j.sink.Begin(reply.Status, reply.Header)
	answer := newHeldAnswer(j.core.options.Answers, func() {
		cancel()
		j.setWriteDeadline(time.Now())
	})
	defer answer.close()
	source := &answerSource{job: j, ctx: ctx, choice: choice, reply: reply}
	go answer.receive(ctx, source)
	stop := j.endWritesIfCallerLeaves(ctx)
	err := write(j.sink, beginning)
	if err == nil {
		err = answer.send(j.sink)
	}
	stop()
	cancel()
	<-answer.received
	// From here on the answer is not ended for others: that would break the connection's next request.
	if !answer.holder.Keep() {
		j.core.logHeldTooLong(j, answer)
		return &failure{kind: unknown, err: errors.Wrap(ErrHeldTooLong, choice.Instance)}
	}
	if err != nil {
		return &failure{kind: unknown, err: err}
	}
	j.endHeld(reply)
	return nil
}

// endWritesIfCallerLeaves makes writes fail if the caller leaves: a caller that closes only its own direction and reads nothing
// would block them until the deadline. stop must be called before ctx is cancelled for another reason.
func (j *job) endWritesIfCallerLeaves(ctx context.Context) (stop func()) {
	done := make(chan struct{})
	remove := context.AfterFunc(ctx, func() {
		defer close(done)
		if callerLeft(ctx) {
			j.setWriteDeadline(time.Now())
		}
	})
	return func() {
		if !remove() {
			<-done
		}
	}
}

// releaseBody gives the body of a request back which is not sent again, once it has been written. An answer may begin before
// that. Until the answer has been received nothing else uses the body.
func (j *job) releaseBody(reply *Reply) {
	if j.request.ReleaseBody == nil || reply.Written == nil || !reply.Written() {
		return
	}
	j.request.Body = nil
	j.request.ReleaseBody()
	j.request.ReleaseBody = nil
}

// endHeld ends a request whose whole answer was forwarded.
func (j *job) endHeld(reply *Reply) {
	j.recordAnswer(reply.Status)
	j.outcome, j.status = outcomeAnswered, reply.Status
	if reply.Status >= http.StatusInternalServerError {
		j.outcome = outcomeFailed
	}
}

// answerSource is the upstream's side of an answer that is forwarded. It is used by one goroutine.
type answerSource struct {
	job    *job
	ctx    context.Context
	choice *assign.Choice
	reply  *Reply
}

// stalled records that the caller has stalled. The upstream may get other requests, unless it is brittle: it may still keep a
// place for the answer. Its outcome is that of the end.
func (s *answerSource) stalled() {
	if s.choice.Permit == 0 {
		s.job.core.options.Assigner.Release(s.choice)
	}
}

// outcome is that of a whole answer.
func (s *answerSource) outcome() assign.Outcome {
	if s.reply.Status >= http.StatusInternalServerError {
		return assign.Failed
	}
	return assign.Succeeded
}

// end records that the upstream has sent the whole answer, if err is nil, or why it has not. waiting means that the caller had
// taken all that came.
func (s *answerSource) end(err error, waiting bool) {
	s.reply.Close(err == nil)
	switch {
	case err == nil:
		s.job.finish(s.choice, s.outcome())
	case s.ctx.Err() != nil && (!waiting || callerLeft(s.ctx)):
		s.job.finish(s.choice, assign.Neutral)
	default:
		s.job.finish(s.choice, assign.Failed)
	}
}

// forwardBuffered reads a response to its end and then forwards it. An idempotent request
// can thus be sent again if the response is truncated or is a failure.
func (j *job) forwardBuffered(choice *assign.Choice, reply *Reply) *failure {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBufferedBody+1))
	if err == nil && len(body) > maxBufferedBody {
		reply.Close(false)
		return j.failedBy(choice, errors.Wrap(&OversizedError{Part: "answer", Bound: maxBufferedBody}, choice.Instance))
	}
	reply.Close(err == nil)
	if err != nil {
		return j.failedBy(choice, errors.Wrapf(ErrUnknown, "%s: %v", choice.Instance, err))
	}
	return j.forwardWhole(choice, reply, body)
}

// forwardWhole forwards a response whose body has been read to its end, or keeps it if it is a failure.
func (j *job) forwardWhole(choice *assign.Choice, reply *Reply, body []byte) *failure {
	j.noteStarted(choice)
	j.recordAnswer(reply.Status)
	if reply.Status >= http.StatusInternalServerError {
		j.failureReply = &bufferedReply{status: reply.Status, header: reply.Header, body: body}
		return j.failedBy(choice, errors.Wrapf(ErrUpstreamFailed, "%s: status %d", choice.Instance, reply.Status))
	}
	j.finish(choice, assign.Succeeded)
	j.outcome, j.status = outcomeAnswered, reply.Status
	j.sink.WriteResponse(reply.Status, reply.Header, body)
	return nil
}
