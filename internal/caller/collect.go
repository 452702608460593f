package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/relay"
)

// maxCollectedBytes bounds the event data of an answer that is not streamed.
const maxCollectedBytes = 4 << 20

// errAnswerTooLong means that an answer exceeds maxCollectedBytes and cannot be
// returned unstreamed.
var errAnswerTooLong = errors.New("caller: answer too long to be given in one piece")

// chunk is one event of an OpenAI-style stream.
type chunk struct {
	Model   string        `json:"model"`
	Created int64         `json:"created"`
	Choices []chunkChoice `json:"choices"`
	Usage   *usage        `json:"usage"`
}

type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        message `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionAnswer is the body of an answer that is not streamed.
type completionAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   usage          `json:"usage"`
}

type answerChoice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// collector assembles a stream into one answer for callers that do not stream. It
// implements relay.Sink.
type collector struct {
	answer completionAnswer
	texts  []*strings.Builder
	chat   bool
	size   int
	err    error
}

// newCollector returns a collector for the answers of an engine's path.
func newCollector(id, path string) *collector {
	c := &collector{chat: strings.HasSuffix(path, "/chat/completions")}
	c.answer = completionAnswer{ID: id, Object: "text_completion", Created: time.Now().Unix()}
	if c.chat {
		c.answer.Object = "chat.completion"
	}
	return c
}

// Attach does nothing: nothing is written before the answer is complete.
func (*collector) Attach(relay.Location) error { return nil }

// Event adds one event to the answer.
func (c *collector) Event(e engine.Event) error {
	if e.Done || c.err != nil {
		return c.err
	}
	c.size += len(e.Data)
	if c.size > maxCollectedBytes {
		c.err = errAnswerTooLong
		return c.err
	}
	var part chunk
	if err := json.Unmarshal(e.Data, &part); err != nil {
		c.err = err
		return c.err
	}
	c.answer.Model = part.Model
	if part.Created != 0 {
		c.answer.Created = part.Created
	}
	if part.Usage != nil {
		c.answer.Usage = *part.Usage
	} else {
		c.answer.Usage.CompletionTokens++
	}
	for _, choice := range part.Choices {
		c.addChoice(choice)
	}
	return nil
}

// maxChoices bounds the choices of one answer.
const maxChoices = 128

func (c *collector) addChoice(part chunkChoice) {
	if part.Index < 0 || part.Index >= maxChoices {
		return
	}
	for len(c.texts) <= part.Index {
		c.answer.Choices = append(c.answer.Choices, answerChoice{Index: len(c.texts), FinishReason: "stop"})
		c.texts = append(c.texts, &strings.Builder{})
	}
	c.texts[part.Index].WriteString(part.Delta.Content + part.Text)
	if part.FinishReason != nil {
		c.answer.Choices[part.Index].FinishReason = *part.FinishReason
	}
}

// write writes the complete answer.
func (c *collector) write(w http.ResponseWriter) {
	if len(c.texts) == 0 {
		c.addChoice(chunkChoice{})
	}
	for i, t := range c.texts {
		text := t.String()
		if c.chat {
			c.answer.Choices[i].Message = &message{Role: "assistant", Content: text}
			continue
		}
		c.answer.Choices[i].Text = &text
	}
	writeJSON(w, http.StatusOK, c.answer)
}
