package caller

import (
	"context"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/route"
	"github.com/chestnutarch/chestnutarch/internal/service"
)

const (
	// HeaderIdempotencyKey is the header with the idempotency key of an action, which
	// makes it safe to retry.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is the header that marks the stored answer of an earlier request.
	HeaderReplayed = "Idempotent-Replayed"
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxTries bounds the number of replicas that one call is sent to.
	maxTries = 3
)

// action is the state of one call to a plain service.
type action struct {
	*document.Route
	req     *request
	call    service.Call
	attempt *claims.Attempt
	avoid   []string
}

// services serves calls to plain services.
func (h *Handler) services(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	path := strings.TrimPrefix(r.URL.Path, "/services")
	found := findRoute(req.snapshot.Document, path)
	if found == nil {
		return newProblem(http.StatusNotFound, TypeUnknownRoute, NotRun, "no route has the path "+path)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return newProblem(http.StatusBadRequest, TypeBadIdempotencyKey, NotRun, "the idempotency key is too long")
	}
	body, release, problem := h.readBody(w, r)
	if problem != nil {
		return problem
	}
	defer release()
	grant, err := h.Limiter.Acquire(r.Context(), req.holder.Team, found.Cost)
	if err != nil {
		return limitProblem(err)
	}
	used := int64(0)
	defer func() { grant.Settle(used) }()
	a := &action{Route: found, req: req, call: service.Call{
		Method: r.Method, Path: path, RawQuery: r.URL.RawQuery, Header: r.Header, Body: body,
		RequestID: req.streamID, Repeat: found.Repeat, Timeout: found.Timeout,
	}}
	if key != "" && found.Repeat != document.RepeatSafe {
		replayed, problem := h.claim(w, r, a, key)
		if replayed || problem != nil {
			return problem
		}
	}
	answer, sent, problem := h.callWithRetries(r.Context(), a)
	if sent {
		used = found.Cost
	}
	if problem != nil {
		return problem
	}
	writeAnswer(w, answer)
	return nil
}

// findRoute returns the route with the path, or nil.
func findRoute(doc *document.Document, path string) *document.Route {
	for i := range doc.Routes {
		if doc.Routes[i].Path == path {
			return &doc.Routes[i]
		}
	}
	return nil
}

// claim claims an action with an idempotency key, so that it runs at most once. If an
// earlier request with the key was answered, claim writes that answer.
func (h *Handler) claim(w http.ResponseWriter, r *http.Request, a *action, key string) (replayed bool, problem *Problem) {
	digest := claim.DigestBody(r.Method, r.URL.RequestURI(), a.call.Body)
	attempt, err := h.Claims.Claim(r.Context(), a.req.holder.Team, key, digest)
	var answered *claims.AnsweredError
	if errors.As(err, &answered) {
		return true, writeReplay(w, answered.Answer)
	}
	if err != nil {
		return false, claimProblem(err)
	}
	a.attempt = attempt
	return false, nil
}

func writeReplay(w http.ResponseWriter, stored *claim.Answer) *Problem {
	if stored.Omitted {
		return newProblem(http.StatusConflict, TypeAnswerNotKept, Answered, "the action was answered; the answer was too large to keep")
	}
	w.Header().Set(HeaderReplayed, "true")
	if stored.ContentType != "" {
		w.Header().Set("Content-Type", stored.ContentType)
	}
	w.WriteHeader(stored.Status)
	w.Write(stored.Body)
	return nil
}

// callWithRetries sends a call to replicas until one answers. Unless the route is
// RepeatSafe, it retries only if no byte of the call can have reached the previous
// replica. sent means that a replica may have run the call.
func (h *Handler) callWithRetries(ctx context.Context, a *action) (answer *service.Answer, sent bool, problem *Problem) {
	for try := 1; ; try++ {
		answer, err := h.callReplica(ctx, a)
		if err == nil {
			h.storeAnswer(a, answer)
			return answer, true, nil
		}
		outcome := service.OutcomeOf(err)
		sent = sent || outcome == service.Unknown
		var call *service.CallError
		retry := errors.As(err, &call) && (outcome == service.NotRun || a.Repeat == document.RepeatSafe)
		if retry && try < maxTries && ctx.Err() == nil {
			continue
		}
		return nil, sent, h.failAction(a, err, sent)
	}
}

// callReplica sends the call to one replica.
func (h *Handler) callReplica(ctx context.Context, a *action) (*service.Answer, error) {
	if !h.retryBudget.allow(len(a.avoid)) {
		return nil, &acquireError{dispatch.ErrNoReplica}
	}
	grant, err := h.Pools.Acquire(ctx, dispatch.Request{
		Team: a.req.holder.Team, Item: route.PoolItem(a.Service), Tokens: a.Cost, Bytes: int64(len(a.call.Body)),
		Deadline: a.req.deadline, Avoid: a.avoid, Check: func() error { return h.checkBeforeDispatch(a.req) },
	})
	if err != nil {
		return nil, &acquireError{err}
	}
	if a.attempt != nil && !a.attempt.Dispatch() {
		grant.Finish(true, 0)
		return nil, &acquireError{claims.ErrUnavailable}
	}
	a.call.BaseURL = grant.Upstream.URL
	// The call is not cancelled if the caller disconnects: once it has been sent, its
	// answer is needed for retries with the same key.
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.req.deadline)
	defer cancel()
	answer, err := h.Services.Call(detached, a.call)
	if err == nil {
		grant.Finish(true, a.Cost)
		return answer, nil
	}
	grant.Finish(false, 0)
	a.avoid = append(a.avoid, grant.Upstream.Name)
	if a.attempt != nil && service.OutcomeOf(err) == service.NotRun {
		a.attempt.RevertDispatch()
	}
	return nil, err
}

// acquireError is a failure to acquire a replica. Nothing was sent.
type acquireError struct{ error }

// Unwrap returns the cause and service.ErrNotRun.
func (e *acquireError) Unwrap() []error { return []error{e.error, service.ErrNotRun} }

// storeAnswer stores the answer for retries with the same key.
func (h *Handler) storeAnswer(a *action, answer *service.Answer) {
	if a.attempt != nil {
		a.attempt.Complete(answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	}
}

// failAction ends the attempt of a failed action and converts the error.
func (h *Handler) failAction(a *action, err error, sent bool) *Problem {
	if a.attempt != nil {
		if sent {
			a.attempt.MarkLost()
		} else {
			a.attempt.Abandon()
		}
	}
	var acquire *acquireError
	switch {
	case errors.As(err, &acquire) && !sent:
		return acquireProblem(acquire.error)
	case !sent:
		return newProblem(http.StatusServiceUnavailable, TypeUpstreamFailed, NotRun, "the service could not be reached").retryAfter(defaultRetryAfter)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadlineExceeded, Unknown, "the service did not answer in time")
	}
	return newProblem(http.StatusBadGateway, TypeUpstreamFailed, Unknown, "the service gave no complete answer")
}

func writeAnswer(w http.ResponseWriter, a *service.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
