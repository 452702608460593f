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

// headerLastEventID carries the last event that a caller has.
const headerLastEventID = "Last-Event-ID"

// completion is one completion under way.
type completion struct {
	*completionRequest
	served
	body   []byte
	cost   int64
	prefix route.Prefix
	path   string
	// promptTokens is an estimate.
	promptTokens int64
	// stream names the stream at the engines. It is our own: two callers may
	// choose the same request ID, and must not be given each other's stream.
	stream string
	// afterID and vm say how far a caller got who sends his request again to go
	// on with a broken answer, and through which VM.
	afterID int64
	vm      string
}

// completions serves both OpenAI-style completion calls.
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
	h.Offered(c.item.Model, c.item.Adapter, c.cost)
	grant, err := h.Limiter.Acquire(r.Context(), req.holder.Team, c.cost)
	if err != nil {
		return limitProblem(err)
	}
	p := &pace{start: arrived}
	problem = h.run(w, r, req, c, grant, p)
	h.tally(r, p, problem)
	return problem
}

// run sends an admitted completion to an engine and passes the answer on.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, req *request, c *completion, grant *ratelimit.Grant, p *pace) *Problem {
	used := int64(0)
	defer func() { grant.Settle(used) }()
	job := h.job(req, c)
	if c.Stream {
		return h.streamJob(w, r, req, job, p, func(x relay.Result, err error) { used = c.used(x, err) })
	}
	sink := newCollector(req.id, c.path)
	p.Sink = sink
	result, err := h.Relay.Run(r.Context(), job, p)
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
	what, ok := findServed(req.snapshot.Document, parsed.Model)
	if !ok {
		return nil, newProblem(http.StatusNotFound, TypeUnknownModel, NotRun, "no model or adapter is called "+parsed.Model)
	}
	c := &completion{
		completionRequest: parsed, served: what, cost: estimateTokens(parsed), promptTokens: promptTokens(parsed),
		path: r.URL.Path, stream: req.stream,
	}
	c.prefix = route.PrefixOf(c.item, string(c.prompt()[:min(len(c.prompt()), route.PrefixBytes)]))
	c.body = parsed.forEngine()
	if id := r.Header.Get(headerLastEventID); id != "" {
		token, problem := h.openToken(id, req)
		if problem != nil {
			return nil, problem
		}
		c.stream, c.afterID, c.vm = token.Stream, token.Offset, token.VM
		h.takeOver(token)
	}
	return c, nil
}

// job describes a completion to the relay. Each time it needs an engine, the key
// is checked again in the moment of dispatch.
func (h *Handler) job(req *request, c *completion) relay.Job {
	return relay.Job{
		StreamID: c.stream,
		Path:     c.path,
		Body:     c.body,
		AfterID:  c.afterID,

		PromptTokens: c.promptTokens,
		Acquire: func(ctx context.Context, avoid []string) (*dispatch.Grant, error) {
			if !h.retries.allow(len(avoid)) {
				return nil, dispatch.ErrNoReplica
			}
			return h.Models.Acquire(ctx, dispatch.Request{
				Team: req.holder.Team, Item: c.item, Version: c.version, Prefix: c.prefix,
				MaxInFlight: c.maxInFlight, Tokens: c.cost, Bytes: int64(len(c.body)),
				Deadline: req.deadline, Avoid: avoid, Check: func() error { return h.mayRun(req) },
			})
		},
	}
}

// used returns the tokens that a completion has taken from its team's rate. What
// another VM goes on with is charged here, in full: that VM charges nothing.
func (c *completion) used(x relay.Result, err error) int64 {
	switch {
	case isTakenOver(err):
		return c.cost
	case !x.Sent:
		return 0
	}
	if x.Usage != nil {
		// The engine has counted. A prompt that was estimated too low becomes the
		// team's debt.
		return x.Usage.PromptTokens + x.Usage.CompletionTokens
	}
	return c.promptTokens + x.Events
}

// streamJob passes a stream on to a caller.
func (h *Handler) streamJob(w http.ResponseWriter, r *http.Request, req *request, job relay.Job, p *pace, ended func(relay.Result, error)) *Problem {
	sink := newSSE(w, h.Ring, resume.Token{Team: req.holder.Team, VM: h.VM, Stream: job.StreamID}, h.pacing)
	defer sink.close()
	p.Sink = sink
	result, err := h.Relay.Run(r.Context(), job, p)
	if ended != nil {
		ended(result, err)
	}
	problem := relayProblem(err, nil, result)
	if problem == nil || !sink.started {
		return problem
	}
	sink.fail(problem, req.id)
	// The status line has been sent: the problem is only logged.
	problem.Status = 0
	return problem
}
