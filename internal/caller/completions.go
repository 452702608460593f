package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

// maxPrefixBytes is how much of the prompt the routing decision looks at.
const maxPrefixBytes = 16 << 10

// completionRequest is the part of an OpenAI-style request that is looked at.
// The rest is passed on as it came.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int64           `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// prompt is the raw JSON of the prompt or of the messages.
func (c *completionRequest) prompt() json.RawMessage {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// completions serves both OpenAI-style completion calls.
func (h *Handler) completions(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	completion, body, problem := readCompletion(r)
	if problem != nil {
		return problem
	}
	cost := estimateTokens(completion)
	grant, err := h.Limiter.Acquire(r.Context(), req.holder.Team, cost)
	if err != nil {
		return limitProblem(err)
	}
	used := int64(0)
	defer func() { grant.Settle(used) }()
	target, problem := h.pick(completion)
	if problem != nil {
		return problem
	}
	defer target.Release()
	if problem := h.checkKey(req); problem != nil {
		return problem
	}
	stream, err := h.Engines.Complete(r.Context(), engine.Request{
		BaseURL:   target.URL,
		Path:      r.URL.Path,
		RequestID: req.id,
		Body:      body,
	})
	if err != nil {
		return upstreamProblem(err)
	}
	defer stream.Close()
	used = promptTokens(completion)
	if completion.Stream {
		return h.passStream(w, req, stream, &used)
	}
	return collect(w, req, stream, r.URL.Path, &used)
}

func readCompletion(r *http.Request) (*completionRequest, []byte, *Problem) {
	body, err := io.ReadAll(r.Body)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return nil, nil, newProblem(http.StatusRequestEntityTooLarge, TypeTooLarge, NotRun, tooLarge.Error())
	}
	if err != nil {
		return nil, nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the body could not be read: "+err.Error())
	}
	completion := &completionRequest{}
	if err := json.Unmarshal(body, completion); err != nil {
		return nil, nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the body is not valid JSON: "+err.Error())
	}
	if completion.Model == "" || len(completion.prompt()) == 0 {
		return nil, nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, `"model" and "messages" or "prompt" are required`)
	}
	if completion.MaxTokens < 0 {
		return nil, nil, newProblem(http.StatusBadRequest, TypeMalformed, NotRun, `"max_tokens" is negative`)
	}
	if !completion.Stream {
		body = asStream(body)
	}
	return completion, body, nil
}

// asStream sets "stream" in a body that is known to be a JSON object. Engines
// are always asked for a stream, so that a broken answer is noticed and can be
// resumed also for callers that want it in one piece.
func asStream(body []byte) []byte {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	fields["stream"] = json.RawMessage("true")
	changed, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return changed
}

func (h *Handler) pick(c *completionRequest) (Target, *Problem) {
	prefix := c.prompt()
	target, err := h.Router.Pick(c.Model, prefix[:min(len(prefix), maxPrefixBytes)])
	switch {
	case errors.Is(err, ErrUnknownModel):
		return Target{}, newProblem(http.StatusNotFound, TypeUnknownModel, NotRun, "no model or adapter is called "+c.Model)
	case err != nil:
		return Target{}, newProblem(http.StatusServiceUnavailable, TypeNoReplica, NotRun, "no replica of "+c.Model+" is ready").retryAfter(time.Second)
	}
	return target, nil
}

// upstreamProblem says what a failed call to an upstream means to the caller.
func upstreamProblem(err error) *Problem {
	outcome := Unknown
	if errors.Is(err, engine.ErrNotSent) {
		outcome = NotRun
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, outcome, "the deadline passed before the answer was complete")
	}
	return newProblem(http.StatusBadGateway, TypeUpstream, outcome, "the upstream gave no complete answer")
}
