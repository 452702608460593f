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

// errBroke means that a stream ended before its end.
var errBroke = errors.New("load: stream broke off")

const (
	maxLineBytes = 1 << 20
	resumePause  = 50 * time.Millisecond
)

// apiError is the body of an error answer.
type apiError struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

// exchange is one request on its way.
type exchange struct {
	workload *Workload
	team     *Team
	call     *Call
	arrival  Arrival
	caller   *caller
	due      time.Time

	result Result
	text   strings.Builder
	token  string
	lastAt time.Time
	tokens int
}

// run makes the request and returns what its caller saw.
func (x *exchange) run(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, x.call.Timeout)
	defer cancel()
	x.result = Result{Arrival: x.arrival, Outcome: Failed}
	base, err := x.caller.base(ctx)
	if err != nil {
		x.result.Reason = "no address: " + reason(err)
		return x.result
	}
	if x.call.Kind == KindAction {
		x.act(ctx, base)
	} else {
		x.stream(ctx, base)
	}
	x.result.Total = time.Since(x.due)
	return x.result
}

func (x *exchange) request(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
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

// act makes an action and checks that the answer is to its own body.
func (x *exchange) act(ctx context.Context, base string) {
	body := []byte(x.arrival.Prompt)
	request, err := x.request(ctx, http.MethodPost, base+"/services"+x.call.Path, body)
	if err != nil {
		return
	}
	if x.call.Keyed {
		request.Header.Set("Idempotency-Key", x.arrival.ID)
	}
	response, err := x.caller.client.Do(request)
	if err != nil {
		x.lost(base, err)
		x.result.Outcome = Unknown
		return
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		x.lost(base, err)
		x.result.Outcome = Unknown
		return
	}
	if response.StatusCode != http.StatusOK {
		x.refused(response.StatusCode, data)
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

// lost notes that the address gave no answer, so that the caller leaves it.
func (x *exchange) lost(base string, err error) {
	x.caller.failed(base)
	x.result.Reason = reason(err)
}

// reason is the last part of an error's text, which has no addresses in it, so
// that equal causes are counted together.
func reason(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		text = text[i+2:]
	}
	return text
}

func (x *exchange) refused(status int, data []byte) {
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

// stream makes a generation and takes it up again where it breaks off: first as
// a stream that an engine still has, and if none has it any more by the original
// request with the last event's ID.
func (x *exchange) stream(ctx context.Context, base string) {
	response, err := x.open(ctx, base)
	for {
		if err == nil && response.StatusCode == http.StatusOK {
			err = x.read(response.Body)
			_ = response.Body.Close()
			if err == nil {
				x.judge()
				return
			}
		}
		lost := err == nil
		if lost {
			data, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
			_ = response.Body.Close()
			x.refused(response.StatusCode, data)
		} else {
			x.lost(base, err)
		}
		if x.token == "" {
			return
		}
		x.result.Outcome = Cut
		if x.result.Resumes >= x.workload.Resumes || ctx.Err() != nil {
			return
		}
		x.result.Resumes++
		wait(ctx, resumePause)
		if base, err = x.caller.base(ctx); err != nil {
			return
		}
		if lost {
			response, err = x.open(ctx, base)
		} else {
			response, err = x.resume(ctx, base)
		}
	}
}

func (x *exchange) open(ctx context.Context, base string) (*http.Response, error) {
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
	request, err := x.request(ctx, http.MethodPost, base+path, data)
	if err != nil {
		return nil, err
	}
	if x.token != "" {
		request.Header.Set("Last-Event-ID", x.token)
	}
	response, err := x.caller.client.Do(request)
	return response, errors.WithStack(err)
}

func (x *exchange) resume(ctx context.Context, base string) (*http.Response, error) {
	request, err := x.request(ctx, http.MethodGet, base+"/v1/streams", nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Last-Event-ID", x.token)
	response, err := x.caller.client.Do(request)
	return response, errors.WithStack(err)
}

// read reads events until the end of the stream. Only [DONE] is its end.
func (x *exchange) read(body io.Reader) error {
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
				return errors.Wrap(errBroke, data)
			}
			if data == "[DONE]" {
				return nil
			}
			x.event(id, data)
			data, name = "", ""
		}
	}
	if err := lines.Err(); err != nil {
		return errors.WithStack(err)
	}
	return errBroke
}

// event takes one event into the text and notes when it came.
func (x *exchange) event(id, data string) {
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
		x.token = id
	}
	piece := e.Choices[0].Text + e.Choices[0].Delta.Content
	if piece == "" {
		return
	}
	now := time.Now()
	if x.tokens == 0 {
		x.result.FirstToken = now.Sub(x.due)
	} else {
		x.result.Gaps = append(x.result.Gaps, now.Sub(x.lastAt))
	}
	x.lastAt = now
	x.tokens++
	x.text.WriteString(piece)
}

// judge compares the digest of the text with that of the text that the
// stand-in engines generate for the prompt.
func (x *exchange) judge() {
	x.result.Outcome = Damaged
	if sha256.Sum256([]byte(x.text.String())) == sha256.Sum256([]byte(x.expected().Text())) {
		x.result.Outcome = Whole
	}
}

// expected is the generation that the request stands for.
func (x *exchange) expected() standin.Generation {
	return standin.Generate(x.arrival.Model, x.call.text(x.arrival), x.call.MaxTokens, false)
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
