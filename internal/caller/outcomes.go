package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/admit"
	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/relay"
)

// defaultRetryAfter is the retry time sent with refusals whose cause gives none.
const defaultRetryAfter = time.Second

func isTakenOver(err error) bool { return errors.Is(err, relay.ErrTakenOver) }

// acquireProblem converts a failure to acquire an upstream. The request was not run.
func acquireProblem(err error) *Problem {
	var refusal *admit.Refusal
	var problem *Problem
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &refusal) && errors.Is(err, admit.ErrDeadline):
		return newProblem(http.StatusServiceUnavailable, TypeDeadlineUnattainable, NotRun, "the deadline cannot be met").retryAfter(refusal.RetryAfter)
	case errors.As(err, &refusal):
		return newProblem(http.StatusServiceUnavailable, TypeQueueFull, NotRun, "the queue is full").retryAfter(refusal.RetryAfter)
	case errors.Is(err, dispatch.ErrNoReplica):
		return newProblem(http.StatusServiceUnavailable, TypeNoReplica, NotRun, "no replica is ready").retryAfter(defaultRetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadlineExceeded, NotRun, "the deadline passed before the request could be sent")
	case errors.Is(err, context.Canceled):
		return newProblem(statusClientClosed, TypeCallerGone, NotRun, "the caller went away")
	}
	return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, "this VM is stopping").retryAfter(defaultRetryAfter)
}

// statusClientClosed is the status for callers that have disconnected. Nobody
// receives it.
const statusClientClosed = 499

// relayProblem converts the result of a relay job. It returns nil if the answer is
// complete. sinkErr is an error of the sink in processing the answer, or nil.
func relayProblem(err, sinkErr error, result relay.Result) *Problem {
	var status *engine.StatusError
	switch {
	case sinkErr != nil:
		return newProblem(http.StatusBadGateway, TypeUpstreamFailed, Unknown, sinkErr.Error())
	case err == nil:
		return nil
	case !result.Sent && !errors.Is(err, relay.ErrLost) && !errors.As(err, &status):
		return acquireProblem(err)
	case errors.As(err, &status):
		return statusProblem(status)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadlineExceeded, Unknown, "the deadline passed before the answer was complete")
	case errors.Is(err, relay.ErrLost) && errors.Is(err, engine.ErrUnknownStream):
		return newProblem(http.StatusNotFound, TypeUnknownStream, Unknown, "the engine has lost the stream; send the request again with Last-Event-ID")
	case errors.Is(err, relay.ErrCallerGone), isTakenOver(err):
		return newProblem(statusClientClosed, TypeCallerGone, Unknown, err.Error())
	case result.Sent:
		return newProblem(http.StatusBadGateway, TypeUpstreamFailed, Unknown, "the upstream gave no complete answer")
	}
	return newProblem(http.StatusServiceUnavailable, TypeUpstreamFailed, NotRun, "no upstream could be reached").retryAfter(defaultRetryAfter)
}

// statusProblem converts an error status of an engine. A server error or 404 means
// that the upstreams that were tried refused the request; any other status means
// that the request itself is at fault.
func statusProblem(s *engine.StatusError) *Problem {
	if s.Status >= http.StatusInternalServerError || s.Status == http.StatusNotFound {
		return newProblem(http.StatusServiceUnavailable, TypeUpstreamFailed, Unknown, "the upstreams refused the request").retryAfter(defaultRetryAfter)
	}
	return newProblem(s.Status, TypeUpstreamError, NotRun, "the engine refused the request")
}

// claimProblem converts an error of Claims.Claim: a keyed action may not run now.
func claimProblem(err error) *Problem {
	switch {
	case errors.Is(err, claims.ErrKeyReused):
		return newProblem(http.StatusUnprocessableEntity, TypeIdempotencyKeyReused, NotRun, "the idempotency key was used for another request")
	case errors.Is(err, claims.ErrInProgress):
		return newProblem(http.StatusConflict, TypeActionInProgress, Unknown, "an earlier request with this key is still running").retryAfter(defaultRetryAfter)
	case errors.Is(err, claims.ErrOutcomeUnknown):
		return newProblem(http.StatusConflict, TypeOutcomeUnknown, Unknown, "an earlier request with this key may have run; it will not be run again")
	}
	return newProblem(http.StatusServiceUnavailable, TypeClaimUnavailable, NotRun, "the idempotency key could not be claimed").retryAfter(defaultRetryAfter)
}
