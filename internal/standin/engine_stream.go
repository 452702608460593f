package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
)

const (
	doneData       = "[DONE]"
	priorityHeader = "X-Priority"
	lastEventID    = "Last-Event-ID"
)

type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	IgnoreEOS bool      `json:"ignore_eos"`
	Stream    bool      `json:"stream"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chunk struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Created     int64    `json:"created"`
	Model       string   `json:"model"`
	Fingerprint string   `json:"system_fingerprint"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// encodeChunk returns the data of one event.
func (s *stream) encodeChunk(text, finish string, u *usage) string {
	one := choice{}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
		one.Delta = &Message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	if finish != "" {
		one.FinishReason = &finish
	}
	return s.encode(object, one, u)
}

func (s *stream) encode(object string, one choice, u *usage) string {
	data, err := json.Marshal(chunk{
		ID: s.id, Object: object, Created: s.created, Model: s.requestedModel,
		Fingerprint: s.item.Version, Choices: []choice{one}, Usage: u,
	})
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// serveCompletion starts a generation and answers with it, as events or in one
// body. With Last-Event-ID it continues a generation of another engine.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		refuse(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	prompt := request.Prompt
	if chat {
		prompt = ChatPrompt(request.Messages)
	}
	sum := sha256.Sum256(body)
	from, _ := strconv.Atoi(r.Header.Get(lastEventID))
	priority, _ := strconv.Atoi(r.Header.Get(priorityHeader))
	text := Generate(request.Model, prompt, request.MaxTokens, request.IgnoreEOS)
	s := &stream{
		id: r.Header.Get(requestIDHeader), requestedModel: request.Model, chat: chat, output: text,
		promptTokens: PromptTokens(prompt), nextToken: min(from, text.Tokens), priority: priority,
		created: time.Now().Unix(), unreadSince: time.Now(), changed: make(chan struct{}),
	}
	s.events = make([]string, s.nextToken)
	s.record = &EngineRequest{
		Time: time.Now(), RequestID: s.id, Path: r.URL.Path, Model: request.Model, Header: r.Header.Clone(),
		BodySHA256: hex.EncodeToString(sum[:]), Priority: priority, ResumedFrom: from, PromptTokens: s.promptTokens,
	}
	if refusal := e.accept(s, prompt); refusal != nil {
		w.Header().Set(requestIDHeader, s.id)
		refuse(w, refusal.status, refusal.kind, refusal.message)
		return
	}
	if request.Stream {
		e.sendEvents(w, r, s, from)
		return
	}
	e.answerComplete(w, r, s)
}

type refusal struct {
	status        int
	kind, message string
}

// accept enqueues a request, or returns why the engine cannot serve it.
func (e *Engine) accept(s *stream, prompt string) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.Received++
	if e.consumeFault(&e.faults.Errors) {
		return &refusal{http.StatusInternalServerError, "server_error", "injected fault"}
	}
	if e.faults.Draining {
		e.records.RefusedDraining++
		return &refusal{http.StatusServiceUnavailable, "draining", "the engine is leaving"}
	}
	item, ok := e.lookUp(s.requestedModel)
	if !ok {
		e.records.RefusedNotResident++
		return &refusal{http.StatusNotFound, "model_not_found", "not resident: " + s.requestedModel}
	}
	if s.id == "" {
		s.id = fmt.Sprintf("unnamed-%d", e.records.Received)
	}
	s.item = item
	s.cachedTokens = min(e.cache.matchAndInsert(itemName(item), prompt), max(0, s.promptTokens-1))
	s.prefillLeft = s.promptTokens - s.cachedTokens + s.nextToken
	s.record.Version, s.record.CachedTokens = item.Version, s.cachedTokens
	e.resident[item].inFlight++
	if item.Adapter != "" {
		e.options.Adapters.add(item.Adapter, 1)
	}
	e.records.Executions[s.id]++
	e.records.PromptTokens += int64(s.promptTokens)
	e.records.CachedTokens += int64(s.cachedTokens)
	if len(e.records.Requests) < maxRecordedRequests {
		e.records.Requests = append(e.records.Requests, s.record)
	}
	e.streams[s.id] = s
	e.enqueue(s)
	return nil
}

// lookUp finds the ready item with the given model or adapter name: of several
// versions the one that was loaded last. An adapter needs its base model.
func (e *Engine) lookUp(name string) (engine.Item, bool) {
	var best engine.Item
	latest := 0
	for item, r := range e.resident {
		named := item.Adapter == name || (item.Adapter == "" && item.Model == name)
		if !named || r.state != engine.ItemReady || r.loadNumber <= latest {
			continue
		}
		if item.Adapter != "" && !e.hasBase(item.Model) {
			continue
		}
		best, latest = item, r.loadNumber
	}
	return best, latest > 0
}

// addReader adds a reader to the stream and returns the fault that applies to
// the exchange.
func (e *Engine) addReader(s *stream) EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	hit := EngineFaults{AfterEvents: e.faults.AfterEvents}
	counters := []*int{&e.faults.ResetStreams, &e.faults.SilenceStreams, &e.faults.TruncateStreams, &e.faults.MisrouteStreams}
	hits := []*int{&hit.ResetStreams, &hit.SilenceStreams, &hit.TruncateStreams, &hit.MisrouteStreams}
	for i := range counters {
		if e.consumeFault(counters[i]) {
			*hits[i] = 1
			break
		}
	}
	return hit
}

func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.unreadSince = time.Now()
}

// sendEvents sends a stream's events that follow event number from, until the
// stream ends.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	fault := e.addReader(s)
	defer e.removeReader(s)
	misrouted := strings.NewReplacer(s.id, otherRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(requestIDHeader, s.id)
	if fault.MisrouteStreams > 0 && fault.AfterEvents == 0 {
		w.Header().Set(requestIDHeader, otherRequestID)
	}
	out := http.NewResponseController(w)
	sent := 0
	for {
		e.mu.Lock()
		events := s.events[min(from, len(s.events)):]
		done, lost, changed := s.done, s.lost, s.changed
		e.mu.Unlock()
		for _, data := range events {
			if sent >= fault.AfterEvents && e.applyStreamFault(r, out, fault) {
				return
			}
			if fault.MisrouteStreams > 0 && sent >= fault.AfterEvents {
				data = misrouted.Replace(data)
			}
			from++
			sent++
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", from, data); err != nil {
				return
			}
		}
		if out.Flush() != nil || done {
			return
		}
		if lost {
			abort(r)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			return
		}
	}
}

// applyStreamFault applies the exchange's fault and reports whether the
// exchange is over.
func (e *Engine) applyStreamFault(r *http.Request, out *http.ResponseController, fault EngineFaults) bool {
	if fault.ResetStreams+fault.SilenceStreams+fault.TruncateStreams == 0 {
		return false
	}
	_ = out.Flush()
	if fault.ResetStreams > 0 {
		abort(r)
	}
	if fault.SilenceStreams > 0 {
		silence(r)
		<-r.Context().Done()
	}
	return true
}

// answerComplete waits for the end of a generation and sends it in one answer.
func (e *Engine) answerComplete(w http.ResponseWriter, r *http.Request, s *stream) {
	fault := e.addReader(s)
	defer e.removeReader(s)
	for {
		e.mu.Lock()
		done, lost, changed := s.done, s.lost, s.changed
		e.mu.Unlock()
		if lost {
			abort(r)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			return
		}
	}
	if e.applyStreamFault(r, http.NewResponseController(w), fault) {
		return
	}
	id := s.id
	if fault.MisrouteStreams > 0 {
		id = otherRequestID
	}
	w.Header().Set(requestIDHeader, id)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, strings.ReplaceAll(s.completeBody(), s.id, id))
}

// completeBody returns the body of an answer that is not streamed.
func (s *stream) completeBody() string {
	text := s.output.Text()
	one := choice{FinishReason: &s.output.Finish}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		one.Message = &Message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	u := usage{PromptTokens: s.promptTokens, CompletionTokens: s.output.Tokens, TotalTokens: s.promptTokens + s.output.Tokens}
	u.Details.CachedTokens = s.cachedTokens
	return s.encode(object, one, &u)
}

// serveResume sends a stream's events after Last-Event-ID.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	s := e.streams[id]
	if s != nil {
		e.records.Resumes++
	}
	e.mu.Unlock()
	if s == nil {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream: "+id)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(lastEventID))
	e.sendEvents(w, r, s, from)
}

// serveCancel ends a generation early.
func (e *Engine) serveCancel(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		refuse(w, http.StatusNotFound, "stream_not_found", "no such stream: "+id)
		return
	}
	if !s.done {
		e.records.Cancels++
		s.record.Cancelled = true
		e.finish(s)
		s.notify()
	}
	w.WriteHeader(http.StatusNoContent)
}
