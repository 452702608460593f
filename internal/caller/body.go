package caller

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

var (
	// errNotObject means that the body is not a JSON object.
	errNotObject = errors.New("the body is not a JSON object")
	// errInvalidField means that a field has the wrong type or an invalid value.
	errInvalidField = errors.New("wrong value")
	// errMissingField means that a required field is missing.
	errMissingField = errors.New(`"model" and "messages" or "prompt" are required`)
)

const (
	// defaultMaxTokens is charged for the answer, and sent to the engine as the limit,
	// if the caller sets no limit. Without it an engine would generate until the model
	// stops, and the tokens beyond the charge would exceed the team's rate.
	defaultMaxTokens = 256
	// maxMaxTokens is the largest max_tokens that a caller may set.
	maxMaxTokens = 1 << 20
)

// completionRequest holds the fields of an OpenAI-style request that are evaluated
// here.
type completionRequest struct {
	Model  string
	Stream bool
	// MaxTokens bounds the length of each choice. Choices is how many the engine
	// generates.
	MaxTokens, Choices int64
	Prompt, Messages   json.RawMessage

	fields map[string]json.RawMessage
}

// prompt returns the raw JSON of the messages or, without any, of the prompt.
func (c *completionRequest) prompt() json.RawMessage {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// parseCompletion parses a request body. Field names are matched exactly: decoding
// into a struct would accept "MAX_TOKENS" as "max_tokens", and the limit that is
// charged could differ from the one that the engine reads.
func parseCompletion(body []byte) (*completionRequest, error) {
	c := &completionRequest{Choices: 1}
	if err := json.Unmarshal(body, &c.fields); err != nil || c.fields == nil {
		return nil, errNotObject
	}
	c.Prompt, c.Messages = c.fields["prompt"], c.fields["messages"]
	var n, bestOf, maxCompletion int64
	for name, target := range map[string]any{
		"model": &c.Model, "stream": &c.Stream, "max_tokens": &c.MaxTokens,
		"max_completion_tokens": &maxCompletion, "n": &n, "best_of": &bestOf,
	} {
		raw, present := c.fields[name]
		if !present {
			continue
		}
		if err := json.Unmarshal(raw, target); err != nil {
			return nil, errors.Wrap(errInvalidField, name)
		}
	}
	if c.Model == "" || len(c.prompt()) == 0 {
		return nil, errMissingField
	}
	return c, c.normalizeLimits(maxCompletion, n, bestOf)
}

// normalizeLimits validates the fields that bound the answer and merges them into
// MaxTokens and Choices.
func (c *completionRequest) normalizeLimits(maxCompletion, n, bestOf int64) error {
	if c.MaxTokens < 0 || maxCompletion < 0 || max(c.MaxTokens, maxCompletion) > maxMaxTokens {
		return errors.Wrap(errInvalidField, "max_tokens")
	}
	if n < 0 || bestOf < 0 || max(n, bestOf) > maxChoices {
		return errors.Wrap(errInvalidField, "n")
	}
	c.MaxTokens = max(c.MaxTokens, maxCompletion)
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
		c.fields["max_tokens"] = json.RawMessage(strconv.Itoa(defaultMaxTokens))
	}
	c.Choices = max(1, n, bestOf)
	return nil
}

// engineBody returns the body for an engine. Each field occurs once. The answer is
// always requested as a stream, so that a broken one is detected and can be resumed
// even if the caller does not stream. The parsed fields are released, so that a
// waiting request holds only one copy of its body.
func (c *completionRequest) engineBody() []byte {
	c.fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(c.fields)
	if err != nil {
		// The fields are JSON that has just been parsed.
		panic(err)
	}
	c.fields, c.Prompt, c.Messages = nil, nil, nil
	return body
}
