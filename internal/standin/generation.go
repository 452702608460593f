package standin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken      = 4
	minNaturalTokens   = 16
	naturalTokensRange = 240
	defaultMaxTokens   = 64
	finishStop         = "stop"
	finishLength       = "length"
	splitMixIncrement  = 0x9e3779b97f4a7c15
)

var vocabulary = strings.Fields(`amber annealed blown bubble casting clay colour cooling crystal
deed document draft edge file filing flame form furnace gather glass heat hand hearing hour
iron jack kiln lamp layer letter light melt mould name notary order pipe pontil record registry
seal shape sheet signature stem stone studio surface table tool turn vessel wax witness work`)

// Generation is the text that every stand-in engine generates for a request.
// Its tokens depend on the model's name and the prompt only, so that any reader
// can tell a complete answer from a damaged one, and another engine can continue
// it.
type Generation struct {
	// Tokens is the number of tokens.
	Tokens int
	// Finish is "stop", or "length" if the caller's limit ended it.
	Finish string

	seed uint64
}

// Generate returns the generation for a prompt. A maxTokens of 0 means 64.
// With ignoreEOS it is exactly maxTokens long; otherwise it may end earlier,
// but never before 16 tokens.
func Generate(model, prompt string, maxTokens int, ignoreEOS bool) Generation {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	g := Generation{Tokens: maxTokens, Finish: finishLength}
	g.seed = xxhash.Sum64String(model + "\x00" + prompt)
	natural := minNaturalTokens + int(g.seed%naturalTokensRange)
	if !ignoreEOS && natural < maxTokens {
		g.Tokens = natural
		g.Finish = finishStop
	}
	return g
}

// Token returns the text of one token, counted from 0.
func (g Generation) Token(i int) string {
	x := g.seed + uint64(i+1)*splitMixIncrement
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	x ^= x >> 31
	return vocabulary[x%uint64(len(vocabulary))] + " "
}

// Text returns the complete text.
func (g Generation) Text() string {
	var b strings.Builder
	for i := range g.Tokens {
		b.WriteString(g.Token(i))
	}
	return b.String()
}

// PromptTokens returns how many tokens the stand-in engines count for a
// prompt: one for every four bytes, rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt of a chat: one line "ROLE: CONTENT" a message.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}
