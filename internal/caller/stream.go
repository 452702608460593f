package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

// passStream sends an engine's events on as they come, each at once.
func (h *Handler) passStream(w http.ResponseWriter, req *request, stream *engine.Stream, used *int64) *Problem {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	for {
		event, err := stream.Next()
		if err != nil {
			problem := upstreamProblem(err)
			writeEvent(w, "error", "", problem.event(req.id))
			controller.Flush()
			// The status line has been sent: the problem is only logged.
			problem.Status = 0
			return problem
		}
		if event.Done {
			writeEvent(w, "", "", []byte("[DONE]"))
			controller.Flush()
			return nil
		}
		*used++
		writeEvent(w, "", strconv.FormatInt(event.ID, 10), event.Data)
		if err := controller.Flush(); err != nil {
			return &Problem{Type: TypeUpstream, Outcome: Unknown, Message: "the caller went away"}
		}
	}
}

// writeEvent writes one server-sent event. Empty fields are left out. A write
// error shows at the next flush.
func writeEvent(w http.ResponseWriter, kind, id string, data []byte) {
	var b strings.Builder
	if kind != "" {
		b.WriteString("event: " + kind + "\n")
	}
	if id != "" {
		b.WriteString("id: " + id + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	w.Write([]byte(b.String()))
}

// chunk is one event of an OpenAI-style stream.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Delta        message `json:"delta"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionAnswer is an answer that is not streamed.
type completionAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
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
	CompletionTokens int64 `json:"completion_tokens"`
}

// collect gathers a stream into one answer, for callers that do not stream. An
// incomplete stream is never shown as an answer.
func collect(w http.ResponseWriter, req *request, stream *engine.Stream, path string, used *int64) *Problem {
	var text strings.Builder
	finish, events := "stop", int64(0)
	for {
		event, err := stream.Next()
		if err != nil {
			return upstreamProblem(err)
		}
		if event.Done {
			break
		}
		*used++
		events++
		var c chunk
		if err := json.Unmarshal(event.Data, &c); err != nil {
			return upstreamProblem(engine.ErrBroken)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content + choice.Text)
			if choice.FinishReason != nil {
				finish = *choice.FinishReason
			}
		}
	}
	answer := completionAnswer{ID: req.id, Object: "text_completion", Created: time.Now().Unix(), Usage: usage{CompletionTokens: events}}
	answer.Choices = []answerChoice{choiceOf(path, text.String(), finish)}
	if strings.HasSuffix(path, "/chat/completions") {
		answer.Object = "chat.completion"
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

func choiceOf(path, text, finish string) answerChoice {
	if strings.HasSuffix(path, "/chat/completions") {
		return answerChoice{Message: &message{Role: "assistant", Content: text}, FinishReason: finish}
	}
	return answerChoice{Text: &text, FinishReason: finish}
}
