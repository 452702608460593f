package caller

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller hides a large limit behind a small one that is spelt otherwise or comes
// twice, asks for many answers, or names no limit. What is charged must be at least
// what the engine is asked for, or his team gets more than its rate.
func TestWhatIsChargedIsWhatTheEngineMayMake(t *testing.T) {
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
		require.Equal(t, promptTokens(c)+want, estimateTokens(c), body)
		var sent map[string]any
		require.NoError(t, json.Unmarshal(c.forEngine(), &sent))
		require.Equal(t, true, sent["stream"])
		require.NotNil(t, sent["max_tokens"], body)
	}
	for _, body := range []string{`[]`, `null`, `{"model":"m"}`, `{"prompt":"x"}`, `{"model":"m","prompt":"x","max_tokens":-1}`, `{"model":"m","prompt":"x","n":1000}`, `{"model":1,"prompt":"x"}`} {
		_, err := parseCompletion([]byte(body))
		require.Error(t, err, body)
	}
}

// FuzzParseCompletion feeds bodies from outside. What is accepted must have a charge,
// and must reach the engine as a stream with the limit that was charged.
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
		again, err := parseCompletion(c.forEngine())
		require.NoError(t, err)
		require.True(t, again.Stream)
		require.GreaterOrEqual(t, cost, again.MaxTokens*again.Answers)
		require.Equal(t, c.MaxTokens, again.MaxTokens)
		require.Equal(t, c.Answers, again.Answers)
	})
}
