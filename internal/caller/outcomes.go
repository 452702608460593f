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

// busyRetry is when to come back after a refusal that names no time.
const busyRetry = time.Second

func isTakenOver(err error) bool { return errors.Is(err, relay.ErrTakenOver) }

// acquireProblem says what it means to the caller that there was no upstream for
// his request. It was not run.
func acquireProblem(err error) *Problem {
	var refusal *admit.Refusal
	var problem *Problem
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &refusal) && errors.Is(err, admit.ErrDeadline):
		return newProblem(http.StatusServiceUnavailable, TypeTooLate, NotRun, "the deadline cannot be met").retryAfter(refusal.RetryAfter)
	case errors.As(err, &refusal):
		return newProblem(http.StatusServiceUnavailable, TypeQueueFull, NotRun, "the queue is full").retryAfter(refusal.RetryAfter)
	case errors.Is(err, dispatch.ErrNoReplica):
		return newProblem(http.StatusServiceUnavailable, TypeNoReplica, NotRun, "no replica is ready").retryAfter(busyRetry)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, NotRun, "the deadline passed before the request could be sent")
	case errors.Is(err, context.Canceled):
		return newProblem(statusClientClosed, TypeCallerGone, NotRun, "the caller went away")
	}
	return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, "this VM is stopping").retryAfter(busyRetry)
}

// statusClientClosed is logged for callers that went away. Nobody reads it.
const statusClientClosed = 499

// relayProblem says what the end of a stream means to the caller. It returns nil
// if the answer is whole. Local is an error of our own with the answer.
func relayProblem(err, local error, x relay.Result) *Problem {
	var status *engine.StatusError
	switch {
	case local != nil:
		return newProblem(http.StatusBadGateway, TypeUpstream, Unknown, local.Error())
	case err == nil:
		return nil
	case !x.Sent && !errors.Is(err, relay.ErrLost) && !errors.As(err, &status):
		return acquireProblem(err)
	case errors.As(err, &status):
		return statusProblem(status)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, Unknown, "the deadline passed before the answer was complete")
	case errors.Is(err, relay.ErrLost) && errors.Is(err, engine.ErrUnknownStream):
		return newProblem(http.StatusNotFound, TypeUnknownStream, Unknown, "the engine has lost the stream; send the request again with Last-Event-ID")
	case errors.Is(err, relay.ErrCallerGone), isTakenOver(err):
		return newProblem(statusClientClosed, TypeCallerGone, Unknown, err.Error())
	case x.Sent:
		return newProblem(http.StatusBadGateway, TypeUpstream, Unknown, "the upstream gave no complete answer")
	}
	return newProblem(http.StatusServiceUnavailable, TypeUpstream, NotRun, "no upstream could be reached").retryAfter(busyRetry)
}

// statusProblem passes on that an engine found fault with the request, or that
// every engine that was tried refused it.
func statusProblem(s *engine.StatusError) *Problem {
	if s.Status >= http.StatusInternalServerError || s.Status == http.StatusNotFound {
		return newProblem(http.StatusServiceUnavailable, TypeUpstream, Unknown, "the upstreams refused the request").retryAfter(busyRetry)
	}
	return newProblem(s.Status, TypeUpstreamError, NotRun, "the engine refused the request")
}

// claimProblem says what it means that a keyed action may not run now.
func claimProblem(err error) *Problem {
	switch {
	case errors.Is(err, claims.ErrKeyReused):
		return newProblem(http.StatusUnprocessableEntity, TypeKeyReused, NotRun, "the idempotency key was used for another request")
	case errors.Is(err, claims.ErrInProgress):
		return newProblem(http.StatusConflict, TypeInProgress, Unknown, "an earlier request with this key is still running").retryAfter(busyRetry)
	case errors.Is(err, claims.ErrOutcomeUnknown):
		return newProblem(http.StatusConflict, TypeOutcomeUnknown, Unknown, "an earlier request with this key may have run; it will not be run again")
	}
	return newProblem(http.StatusServiceUnavailable, TypeClaimUnavailable, NotRun, "the idempotency key could not be claimed").retryAfter(busyRetry)
}
