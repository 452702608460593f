package caller

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against undercharging: a body hides a large limit behind a small one that is
// spelled differently or repeated, asks for many choices, or sets no limit. The charge
// must be at least what the engine is asked for, or the team exceeds its rate.
func TestChargeCoversWhatTheEngineMayGenerate(t *testing.T) {
	for body, want := range map[string]int64{
		`{"model":"m","prompt":"x","max_tokens":1000,"MAX_TOKENS":1}`:                1000,
		`{"model":"m","prompt":"x","max_tokens":1,"max_tokens":1000}`:                1000,
		`{"model":"m","prompt":"x","max_tokens":10,"max_completion_tokens":1000}`:    1000,
		`{"model":"m","prompt":"x","max_tokens":100,"n":5,"best_of":10}`:             1000,
		`{"model":"m","prompt":"x"}`:                                                 defaultMaxTokens,
		`{"model":"m","prompt":"x","max_tokens":null}`:                               defaultMaxTokens,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":1000}`: 1000,
	} {
		c, err := parseCompletion([]byte(body))
		require.NoError(t, err, body)
		require.Equal(t, estimatePromptTokens(c)+want, estimateTokens(c), body)
		var sent map[string]any
		require.NoError(t, json.Unmarshal(c.engineBody(), &sent))
		require.Equal(t, true, sent["stream"])
		require.NotNil(t, sent["max_tokens"], body)
	}
	for _, body := range []string{`[]`, `null`, `{"model":"m"}`, `{"prompt":"x"}`, `{"model":"m","prompt":"x","max_tokens":-1}`, `{"model":"m","prompt":"x","n":1000}`, `{"model":1,"prompt":"x"}`} {
		_, err := parseCompletion([]byte(body))
		require.Error(t, err, body)
	}
}

// FuzzParseCompletion parses arbitrary bodies. An accepted body must have a charge and
// must be sent to the engine as a stream with the limits that were charged.
func FuzzParseCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":5}`))
	f.Add([]byte(`{"model":"m","messages":[],"n":3}`))
	f.Add([]byte(`{"model":"m","prompt":"x","Max_Tokens":9007199254740993}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := parseCompletion(body)
		if err != nil {
			return
		}
		cost := estimateTokens(c)
		require.Positive(t, cost)
		reparsed, err := parseCompletion(c.engineBody())
		require.NoError(t, err)
		require.True(t, reparsed.Stream)
		require.GreaterOrEqual(t, cost, reparsed.MaxTokens*reparsed.Choices)
		require.Equal(t, c.MaxTokens, reparsed.MaxTokens)
		require.Equal(t, c.Choices, reparsed.Choices)
	})
}
