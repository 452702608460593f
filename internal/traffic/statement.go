package traffic

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

// This file decides what the head of an upstream's answer states about the run, and what callers may be told of it.

// ErrRefused means that an upstream states that it did not run a request.
var ErrRefused = errors.New("traffic: the upstream refused the request")

// maxDiscarded bounds the body of an answer that is not passed on, in bytes. The connection of a longer one is closed.
const maxDiscarded = 64 << 10

// answerLog is what logs tell of an upstream's answer. The zero value stands for none.
type answerLog struct {
	status, uses int
	notExecuted  bool
	after        time.Duration
}

// recordHead records the head of an answer for logs and metrics.
func (j *job) recordHead(reply *Reply) {
	j.answer = answerLog{
		status: reply.Status, uses: reply.Uses, notExecuted: reply.NotExecuted, after: time.Since(j.writtenAt),
	}
	j.core.countHead(reply)
}

// promisesNotRun reports whether a status tells callers that their request was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayPassOn reports whether an upstream's status may be passed on after a run. Callers of a request that may run once would
// send it again after a status that promises; other callers get it if it is the upstream's own.
func (j *job) mayPassOn(status int, signed bool) bool {
	return !promisesNotRun(status) || (signed && j.route.Repeatable())
}

// refusedByUpstream handles a response in which the upstream states that it did not run the
// request.
func (j *job) refusedByUpstream(choice *assign.Choice, reply *Reply) *failure {
	reply.discard()
	switch {
	case reply.Pushback.RetryAfter > 0:
		// The upstream itself says when it takes requests again, this one included.
	case j.request.Model == "":
		choice.Rejected = !reply.Misdirected
		j.avoidInstance(choice.Instance)
	case reply.Misdirected:
		j.core.options.Assigner.RemoveItem(choice.Instance, j.request.Model, j.request.Adapter)
	default:
		choice.Rejected = true
		j.avoidInstance(choice.Instance)
		j.core.options.Assigner.RecordRejection(choice.Instance, j.request.Model, time.Now())
	}
	j.finish(choice, assign.Neutral)
	return &failure{kind: notExecuted, err: errors.Wrapf(ErrRefused, "%s: status %d", choice.Instance, reply.Status)}
}

// promisedByUpstream handles a response whose status would tell the caller that its request was not run, although the upstream
// does not state that.
func (j *job) promisedByUpstream(choice *assign.Choice, reply *Reply) *failure {
	reply.discard()
	j.recordAnswer(reply.Status)
	outcome := assign.Failed
	if reply.Status < http.StatusInternalServerError {
		outcome = assign.Neutral
	}
	j.finish(choice, outcome)
	j.avoidInstance(choice.Instance)
	return &failure{kind: unknown, err: errors.Wrapf(ErrUpstreamFailed, "%s: status %d", choice.Instance, reply.Status)}
}

// discard ends the exchange of an answer that is not passed on.
func (r *Reply) discard() {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscarded+1))
	r.Close(err == nil && n <= maxDiscarded)
}
