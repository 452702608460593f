package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// headerLastEventID is the header with the ID of the last event that the caller
// received.
const headerLastEventID = "Last-Event-ID"

// completion is the state of one completion request.
type completion struct {
	*completionRequest
	resolvedModel
	body   []byte
	cost   int64
	prefix route.Prefix
	path   string
	// promptTokens is the estimated length of the prompt.
	promptTokens int64
	// streamID identifies the stream at the engines. It is generated here and not
	// the caller's request ID: two callers may choose the same request ID and must
	// not receive each other's stream.
	streamID string
	// afterID and vm are set if the caller sends a request again to resume a broken
	// answer: the last event that it received, and the VM that served the stream.
	afterID int64
	vm      string
}

// completions serves both OpenAI-style completion endpoints.
func (h *Handler) completions(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	arrived := time.Now()
	body, release, problem := h.readBody(w, r)
	if problem != nil {
		return problem
	}
	defer release()
	c, problem := h.newCompletion(r, req, body)
	if problem != nil {
		return problem
	}
	h.RecordDemand(c.item.Model, c.item.Adapter, c.cost)
	grant, err := h.Limiter.Acquire(r.Context(), req.holder.Team, c.cost)
	if err != nil {
		return limitProblem(err)
	}
	latency := &latencySink{start: arrived}
	problem = h.run(w, r, req, c, grant, latency)
	h.reportCompletion(r, latency, problem)
	return problem
}

// run sends an admitted completion to an engine and forwards the answer.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, req *request, c *completion, grant *ratelimit.Grant, latency *latencySink) *Problem {
	used := int64(0)
	defer func() { grant.Settle(used) }()
	job := h.job(req, c)
	if c.Stream {
		return h.streamJob(w, r, req, job, latency, func(result relay.Result, err error) { used = c.used(result, err) })
	}
	sink := newCollector(req.id, c.path)
	latency.Sink = sink
	result, err := h.Relay.Run(r.Context(), job, latency)
	used = c.used(result, err)
	if problem := relayProblem(err, sink.err, result); problem != nil {
		return problem
	}
	sink.write(w)
	return nil
}

func (h *Handler) newCompletion(r *http.Request, req *request, body []byte) (*completion, *Problem) {
	parsed, err := parseCompletion(body)
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, err.Error())
	}
	resolved, ok := resolveModel(req.snapshot.Document, parsed.Model)
	if !ok {
		return nil, newProblem(http.StatusNotFound, TypeUnknownModel, NotRun, "no model or adapter is called "+parsed.Model)
	}
	c := &completion{
		completionRequest: parsed, resolvedModel: resolved, cost: estimateTokens(parsed), promptTokens: estimatePromptTokens(parsed),
		path: r.URL.Path, streamID: req.streamID,
	}
	c.prefix = route.PrefixOf(c.item, string(c.prompt()[:min(len(c.prompt()), route.PrefixBytes)]))
	c.body = parsed.engineBody()
	if id := r.Header.Get(headerLastEventID); id != "" {
		token, problem := h.openToken(id, req)
		if problem != nil {
			return nil, problem
		}
		c.streamID, c.afterID, c.vm = token.Stream, token.Offset, token.VM
		h.releaseAtPreviousVM(token)
	}
	return c, nil
}

// job returns the relay job of a completion. Whenever the relay acquires an engine,
// the key is checked again at the moment of dispatch.
func (h *Handler) job(req *request, c *completion) relay.Job {
	return relay.Job{
		StreamID: c.streamID,
		Path:     c.path,
		Body:     c.body,
		AfterID:  c.afterID,

		PromptTokens: c.promptTokens,
		Acquire: func(ctx context.Context, avoid []string) (*dispatch.Grant, error) {
			if !h.retryBudget.allow(len(avoid)) {
				return nil, dispatch.ErrNoReplica
			}
			return h.Models.Acquire(ctx, dispatch.Request{
				Team: req.holder.Team, Item: c.item, Version: c.version, Prefix: c.prefix,
				MaxInFlight: c.maxInFlight, Tokens: c.cost, Bytes: int64(len(c.body)),
				Deadline: req.deadline, Avoid: avoid, Check: func() error { return h.checkBeforeDispatch(req) },
			})
		},
	}
}

// used returns the tokens to charge to the team's rate. A stream that another VM has
// taken over is charged here in full, since that VM charges nothing.
func (c *completion) used(result relay.Result, err error) int64 {
	switch {
	case isTakenOver(err):
		return c.cost
	case !result.Sent:
		return 0
	}
	if result.Usage != nil {
		// The engine's own count is exact. If the prompt was underestimated, the
		// difference becomes the team's debt.
		return result.Usage.PromptTokens + result.Usage.CompletionTokens
	}
	return c.promptTokens + result.Events
}

// streamJob runs a relay job and streams its answer to the caller. onEnd, if not nil,
// is called with the result.
func (h *Handler) streamJob(w http.ResponseWriter, r *http.Request, req *request, job relay.Job, latency *latencySink, onEnd func(relay.Result, error)) *Problem {
	sink := newSSEWriter(w, h.Ring, resume.Token{Team: req.holder.Team, VM: h.VM, Stream: job.StreamID}, h.timing)
	defer sink.close()
	latency.Sink = sink
	result, err := h.Relay.Run(r.Context(), job, latency)
	if onEnd != nil {
		onEnd(result, err)
	}
	problem := relayProblem(err, nil, result)
	if problem == nil || !sink.started {
		return problem
	}
	sink.fail(problem, req.id)
	// The status line has already been sent, so the problem is only logged.
	problem.Status = 0
	return problem
}
