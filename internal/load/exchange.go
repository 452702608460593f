package load

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// errStreamBroken means that a stream ended without the final [DONE] event.
var errStreamBroken = errors.New("load: stream broke off")

const (
	maxLineBytes   = 1 << 20
	resumeInterval = 50 * time.Millisecond
)

// apiError is the body of an error response.
type apiError struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// exchange is one request, its attempts to resume and its result.
type exchange struct {
	workload *Workload
	team     *Team
	call     *Call
	arrival  Arrival
	caller   *caller
	due      time.Time

	result      Result
	text        strings.Builder
	lastEventID string
	lastTokenAt time.Time
	tokenCount  int
}

// run sends the request and returns the result that the caller observes.
func (x *exchange) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, x.call.Timeout)
	defer cancel()
	x.result = Result{Arrival: x.arrival, Outcome: Failed}
	base, err := x.caller.baseURL(ctx)
	if err != nil {
		x.result.Reason = "no address: " + errorReason(err)
		return x.result
	}
	if x.call.Kind == KindAction {
		x.runAction(ctx, base)
	} else {
		x.runStream(ctx, base)
	}
	x.result.Total = time.Since(x.due)
	return x.result
}

func (x *exchange) newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+x.team.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Timeout-Ms", strconv.FormatInt(x.call.Timeout.Milliseconds(), 10))
	return request, nil
}

// runAction sends an action and checks that the answer has the digest of the
// body that was sent.
func (x *exchange) runAction(ctx context.Context, base string) {
	body := []byte(x.arrival.Prompt)
	request, err := x.newRequest(ctx, http.MethodPost, base+"/services"+x.call.Path, body)
	if err != nil {
		return
	}
	if x.call.Keyed {
		request.Header.Set("Idempotency-Key", x.arrival.ID)
	}
	response, err := x.caller.client.Do(request)
	if err != nil {
		x.recordConnectionFailure(base, err)
		x.result.Outcome = Unknown
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		x.recordConnectionFailure(base, err)
		x.result.Outcome = Unknown
		return
	}
	if response.StatusCode != http.StatusOK {
		x.recordRefusal(response.StatusCode, data)
		return
	}
	x.result.FirstToken = time.Since(x.due)
	var answer standin.ServiceAnswer
	sum := sha256.Sum256(body)
	x.result.Outcome = Damaged
	if json.Unmarshal(data, &answer) == nil && answer.BodySHA256 == hex.EncodeToString(sum[:]) {
		x.result.Outcome = Whole
	}
}

// recordConnectionFailure records an error of the connection to an address and
// makes the caller move to the next address.
func (x *exchange) recordConnectionFailure(base string, err error) {
	x.caller.markFailed(base)
	x.result.Reason = errorReason(err)
}

// errorReason returns the last part of an error's text. That part contains no
// addresses, so that errors of the same cause are counted together.
func errorReason(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

func (x *exchange) recordRefusal(status int, data []byte) {
	var e apiError
	_ = json.Unmarshal(data, &e)
	x.result.Reason = strconv.Itoa(status) + " " + e.Error.Type
	if status != http.StatusTooManyRequests {
		x.result.Reason += ": " + e.Error.Message
	}
	switch {
	case e.Error.Outcome == "not_run" && status == http.StatusTooManyRequests:
		x.result.Outcome = Refused
	case e.Error.Outcome == "not_run":
		x.result.Outcome = NotRun
	case e.Error.Outcome == "unknown":
		x.result.Outcome = Unknown
	}
}

// runStream sends a generation request and resumes the stream when it breaks
// off. It first tries to resume the stream that an engine still has; if no
// engine has it any more, it repeats the original request with the ID of the
// last event.
func (x *exchange) runStream(ctx context.Context, base string) {
	response, err := x.openStream(ctx, base)
	for {
		if err == nil && response.StatusCode == http.StatusOK {
			err = x.readEvents(response.Body)
			_ = response.Body.Close()
			if err == nil {
				x.verifyText()
				return
			}
		}
		answered := err == nil
		if answered {
			data, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
			_ = response.Body.Close()
			x.recordRefusal(response.StatusCode, data)
		} else {
			x.recordConnectionFailure(base, err)
		}
		if x.lastEventID == "" {
			return
		}
		x.result.Outcome = Cut
		if x.result.Resumes >= x.workload.MaxResumes || ctx.Err() != nil {
			return
		}
		x.result.Resumes++
		sleep(ctx, resumeInterval)
		if base, err = x.caller.baseURL(ctx); err != nil {
			return
		}
		if answered {
			response, err = x.openStream(ctx, base)
		} else {
			response, err = x.resumeStream(ctx, base)
		}
	}
}

func (x *exchange) openStream(ctx context.Context, base string) (*http.Response, error) {
	body := struct {
		Model     string            `json:"model"`
		Prompt    string            `json:"prompt,omitempty"`
		Messages  []standin.Message `json:"messages,omitempty"`
		MaxTokens int               `json:"max_tokens"`
		Stream    bool              `json:"stream"`
	}{Model: x.arrival.Model, MaxTokens: x.call.MaxTokens, Stream: true}
	path := "/v1/completions"
	if x.call.Kind == KindChat {
		path = "/v1/chat/completions"
		body.Messages = x.call.messages(x.arrival)
	} else {
		body.Prompt = x.arrival.Prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request, err := x.newRequest(ctx, http.MethodPost, base+path, data)
	if err != nil {
		return nil, err
	}
	if x.lastEventID != "" {
		request.Header.Set("Last-Event-ID", x.lastEventID)
	}
	response, err := x.caller.client.Do(request)
	return response, errors.WithStack(err)
}

func (x *exchange) resumeStream(ctx context.Context, base string) (*http.Response, error) {
	request, err := x.newRequest(ctx, http.MethodGet, base+"/v1/streams", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", x.lastEventID)
	response, err := x.caller.client.Do(request)
	return response, errors.WithStack(err)
}

// readEvents reads events until [DONE], which alone marks a complete stream. Any
// other end is an error.
func (x *exchange) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	id, data, name := "", "", ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			id = value
		case "event":
			name = value
		case "data":
			data = value
		case "":
			if lines.Text() != "" {
				continue
			}
			if name == "error" {
				return errors.Wrap(errStreamBroken, data)
			}
			if data == "[DONE]" {
				return nil
			}
			x.addEvent(id, data)
			data, name = "", ""
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	return errStreamBroken
}

// addEvent appends the text of one event and records its time of arrival.
func (x *exchange) addEvent(id, data string) {
	var e struct {
		Choices []struct {
			Text  string          `json:"text"`
			Delta standin.Message `json:"delta"`
		} `json:"choices"`
	}
	if data == "" || json.Unmarshal([]byte(data), &e) != nil || len(e.Choices) == 0 {
		return
	}
	if id != "" {
		x.lastEventID = id
	}
	content := e.Choices[0].Text + e.Choices[0].Delta.Content
	if content == "" {
		return
	}
	now := time.Now()
	if x.tokenCount == 0 {
		x.result.FirstToken = now.Sub(x.due)
	} else {
		x.result.TokenGaps = append(x.result.TokenGaps, now.Sub(x.lastTokenAt))
	}
	x.lastTokenAt = now
	x.tokenCount++
	x.text.WriteString(content)
}

// verifyText sets the outcome by comparing the digest of the received text with
// the digest of the text that the stand-in engines generate for the prompt.
func (x *exchange) verifyText() {
	x.result.Outcome = Damaged
	if sha256.Sum256([]byte(x.text.String())) == sha256.Sum256([]byte(x.expectedGeneration().Text())) {
		x.result.Outcome = Whole
	}
}

// expectedGeneration returns the complete generation for the request.
func (x *exchange) expectedGeneration() standin.Generation {
	return standin.Generate(x.arrival.Model, x.call.promptText(x.arrival), x.call.MaxTokens, false)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
