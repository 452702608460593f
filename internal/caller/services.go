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
	// HeaderIdempotencyKey names an action, so that it can be tried again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks an answer that an earlier request got.
	HeaderReplayed = "Idempotent-Replayed"
	// maxIdempotencyKeyBytes bounds an idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxTries is how many replicas one call is offered to.
	maxTries = 3
)

// action is one call of a plain service under way.
type action struct {
	*document.Route
	req     *request
	call    service.Call
	attempt *claims.Attempt
	avoid   []string
}

// services serves the routed calls to plain services.
func (h *Handler) services(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	path := strings.TrimPrefix(r.URL.Path, "/services")
	found := findRoute(req.snapshot.Document, path)
	if found == nil {
		return newProblem(http.StatusNotFound, TypeUnknownRoute, NotRun, "no route has the path "+path)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return newProblem(http.StatusBadRequest, TypeBadKey, NotRun, "the idempotency key is too long")
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
		RequestID: req.stream, Repeat: found.Repeat, Timeout: found.Timeout,
	}}
	if key != "" && found.Repeat != document.RepeatSafe {
		replayed, problem := h.claim(w, r, a, key)
		if replayed || problem != nil {
			return problem
		}
	}
	answer, sent, problem := h.act(r.Context(), a)
	if sent {
		used = found.Cost
	}
	if problem != nil {
		return problem
	}
	writeAnswer(w, answer)
	return nil
}

func findRoute(doc *document.Document, path string) *document.Route {
	for i := range doc.Routes {
		if doc.Routes[i].Path == path {
			return &doc.Routes[i]
		}
	}
	return nil
}

// claim makes sure that a keyed action runs once. If an earlier request was
// answered, its answer is written.
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

// act offers a call to replicas until one has taken it. A call that may not be
// repeated is offered to another replica only if no byte of it can have reached
// the one before. Sent means that a replica may have run it.
func (h *Handler) act(ctx context.Context, a *action) (answer *service.Answer, sent bool, problem *Problem) {
	for try := 1; ; try++ {
		answer, err := h.actOnce(ctx, a)
		if err == nil {
			h.answered(a, answer)
			return answer, true, nil
		}
		outcome := service.OutcomeOf(err)
		sent = sent || outcome == service.Unknown
		var call *service.CallError
		again := errors.As(err, &call) && (outcome == service.NotRun || a.Repeat == document.RepeatSafe)
		if again && try < maxTries && ctx.Err() == nil {
			continue
		}
		return nil, sent, h.failed(a, err, sent)
	}
}

// actOnce sends the call to one replica.
func (h *Handler) actOnce(ctx context.Context, a *action) (*service.Answer, error) {
	if !h.retries.allow(len(a.avoid)) {
		return nil, &acquireError{dispatch.ErrNoReplica}
	}
	grant, err := h.Pools.Acquire(ctx, dispatch.Request{
		Team: a.req.holder.Team, Item: route.PoolItem(a.Service), Tokens: a.Cost, Bytes: int64(len(a.call.Body)),
		Deadline: a.req.deadline, Avoid: a.avoid, Check: func() error { return h.mayRun(a.req) },
	})
	if err != nil {
		return nil, &acquireError{err}
	}
	if a.attempt != nil && !a.attempt.Dispatch() {
		grant.Finish(true, 0)
		return nil, &acquireError{claims.ErrUnavailable}
	}
	a.call.BaseURL = grant.Upstream.URL
	// The caller may go away, but the call has been sent: its answer is wanted for
	// whoever tries the key again.
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
		a.attempt.Unsent()
	}
	return nil, err
}

// acquireError is the lack of a replica. Nothing was sent.
type acquireError struct{ error }

// Unwrap returns the error, and that the call was not run.
func (e *acquireError) Unwrap() []error { return []error{e.error, service.ErrNotRun} }

// answered keeps the answer for retries with the same key.
func (h *Handler) answered(a *action, answer *service.Answer) {
	if a.attempt != nil {
		a.attempt.Answered(answer.Status, answer.Header.Get("Content-Type"), answer.Body)
	}
}

// failed ends the attempt and says what the failure means to the caller.
func (h *Handler) failed(a *action, err error, sent bool) *Problem {
	if a.attempt != nil {
		if sent {
			a.attempt.Lost()
		} else {
			a.attempt.Abandon()
		}
	}
	var acquire *acquireError
	switch {
	case errors.As(err, &acquire) && !sent:
		return acquireProblem(acquire.error)
	case !sent:
		return newProblem(http.StatusServiceUnavailable, TypeUpstream, NotRun, "the service could not be reached").retryAfter(busyRetry)
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, Unknown, "the service did not answer in time")
	}
	return newProblem(http.StatusBadGateway, TypeUpstream, Unknown, "the service gave no complete answer")
}

func writeAnswer(w http.ResponseWriter, a *service.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
