package caller

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

var (
	// errNotObject means that a body is not a JSON object.
	errNotObject = errors.New("the body is not a JSON object")
	// errField means that a field has a wrong type or value.
	errField = errors.New("wrong value")
	// errMissing means that a field is missing.
	errMissing = errors.New(`"model" and "messages" or "prompt" are required`)
)

const (
	// defaultMaxTokens is charged for the answer, and asked of the engine, if the
	// caller names no limit. Without it an engine would go on for as long as the
	// model does, and what it makes beyond the charge would be more than the team's
	// rate.
	defaultMaxTokens = 256
	// maxMaxTokens bounds what a caller may ask for.
	maxMaxTokens = 1 << 20
)

// completionRequest is what is looked at in an OpenAI-style request.
type completionRequest struct {
	Model  string
	Stream bool
	// MaxTokens bounds each answer, Answers is how many are made.
	MaxTokens, Answers int64
	Prompt, Messages   json.RawMessage

	fields map[string]json.RawMessage
}

// prompt is the raw JSON of the prompt or of the messages.
func (c *completionRequest) prompt() json.RawMessage {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// parseCompletion reads a body. Names are compared exactly: decoding into a struct
// would take "MAX_TOKENS" for "max_tokens", and the limit that is charged would not be
// the one that the engine reads.
func parseCompletion(body []byte) (*completionRequest, error) {
	c := &completionRequest{Answers: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, errNotObject
	}
	c.Prompt, c.Messages = c.fields["prompt"], c.fields["messages"]
	var n, bestOf, newer int64
	for name, into := range map[string]any{
		"model": &c.Model, "stream": &c.Stream, "max_tokens": &c.MaxTokens,
		"max_completion_tokens": &newer, "n": &n, "best_of": &bestOf,
	} {
		raw, given := c.fields[name]
		if !given {
			continue
		}
		if err := json.Unmarshal(raw, into); err != nil {
			return nil, errors.Wrap(errField, name)
		}
	}
	if c.Model == "" || len(c.prompt()) == 0 {
		return nil, errMissing
	}
	return c, c.limit(newer, n, bestOf)
}

// limit joins the fields that bound the answer.
func (c *completionRequest) limit(newer, n, bestOf int64) error {
	if c.MaxTokens < 0 || newer < 0 || max(c.MaxTokens, newer) > maxMaxTokens {
		return errors.Wrap(errField, "max_tokens")
	}
	if n < 0 || bestOf < 0 || max(n, bestOf) > maxChoices {
		return errors.Wrap(errField, "n")
	}
	c.MaxTokens = max(c.MaxTokens, newer)
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
		c.fields["max_tokens"] = json.RawMessage(strconv.Itoa(defaultMaxTokens))
	}
	c.Answers = max(1, n, bestOf)
	return nil
}

// forEngine returns the body for an engine: each field once, and a stream in any
// case, so that a broken answer is noticed and can be resumed also for callers that
// want it in one piece. What was read is given up: a waiting request holds its body
// once.
func (c *completionRequest) forEngine() []byte {
	c.fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(c.fields)
	if err != nil {
		// The fields are JSON that has just been read.
		panic(err)
	}
	c.fields, c.Prompt, c.Messages = nil, nil, nil
	return body
}
