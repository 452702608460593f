package test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// options are arguments of the form name=value.
type options map[string]string

func parseOptions(args []string) options {
	o := make(options)
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		o[name] = value
	}
	return o
}

func (o options) get(name, fallback string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return fallback
}

// callerClient is the client of all callers. It reuses connections, as callers do.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func newRequest(ctx context.Context, method, url string, o options, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if key := o.get("key", ""); key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, header := range map[string]string{"idem": "Idempotency-Key", "timeout": "X-Timeout-Ms", "id": "X-Request-Id"} {
		if v := o.get(name, ""); v != "" {
			request.Header.Set(header, v)
		}
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// call is one request in the background.
type call struct {
	done   chan struct{}
	status int
	body   []byte
	err    error
}

// cmdCall: call URL [method=] [key=] [idem=] [timeout=] [id=] [body=] [want=STATUS] [until=STATUS] [bg=NAME]
// prints the answer's body. want=any accepts every status, and a missing answer,
// for which the error is printed; until= repeats the call until the answer has
// that status.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: call URL [name=value...]")
	}
	o := parseOptions(args[1:])
	body := o.get("body", "")
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	if until := o.get("until", ""); until != "" {
		ts.Check(poll(func() error {
			attempt := &call{done: make(chan struct{})}
			attempt.run(o.get("method", method), args[0], o, body)
			if strconv.Itoa(attempt.status) != until {
				return fmt.Errorf("%s answered %d (%v), want %s: %s", args[0], attempt.status, attempt.err, until, attempt.body)
			}
			return nil
		}))
		return
	}
	c := &call{done: make(chan struct{})}
	go c.run(o.get("method", method), args[0], o, body)
	if name := o.get("bg", ""); name != "" {
		stateOf(ts).calls[name] = c
		return
	}
	c.checkStatus(ts, o.get("want", "200"))
}

func (c *call) run(method, url string, o options, body string) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	request, err := newRequest(ctx, method, url, o, body)
	if err != nil {
		c.err = err
		return
	}
	response, err := callerClient.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	c.body, c.err = io.ReadAll(response.Body)
}

// checkStatus waits for the answer, prints its body, and fails the scenario
// unless the answer has the wanted status.
func (c *call) checkStatus(ts *testscript.TestScript, want string) {
	<-c.done
	_, _ = ts.Stdout().Write(append(c.body, '\n'))
	if c.err != nil {
		_, _ = fmt.Fprintln(ts.Stdout(), c.err)
	}
	if want == "any" {
		return
	}
	if c.err != nil || strconv.Itoa(c.status) != want {
		ts.Fatalf("call answered %d (%v), want %s: %s", c.status, c.err, want, c.body)
	}
}

// cmdWarm: warm URL... waits until each entry VM is ready and has served a
// request for every model, so that the time of start-up does not affect a
// scenario.
func cmdWarm(ts *testscript.TestScript, neg bool, args []string) {
	for _, url := range args {
		cmdReady(ts, neg, []string{url + "/readyz"})
		for _, model := range []string{"draft", "deeds", "chat"} {
			body := fmt.Sprintf(`{"model":%q,"prompt":"warm","max_tokens":1}`, model)
			ts.Check(poll(func() error {
				c := &call{done: make(chan struct{})}
				c.run(http.MethodPost, url+"/v1/completions", options{"key": "studios-key"}, body)
				if c.err != nil || c.status != http.StatusOK {
					return fmt.Errorf("%s: %s answered %d: %s (%v)", url, model, c.status, c.body, c.err)
				}
				return nil
			}))
		}
	}
}

// cmdJoin: join NAME [want=STATUS] waits for a call in the background and checks
// its status.
func cmdJoin(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 || stateOf(ts).calls[args[0]] == nil {
		ts.Fatalf("usage: join NAME [want=STATUS]")
	}
	stateOf(ts).calls[args[0]].checkStatus(ts, parseOptions(args[1:]).get("want", "200"))
}

// stream is one generation that is read in the background, over one connection
// after another.
type stream struct {
	options options
	prompt  string
	tokens  int
	body    string
	cancel  context.CancelFunc

	mu          sync.Mutex
	text        strings.Builder
	events      int
	lastEventID string
	ended       chan struct{}
	status      int
	end         string
}

// completeEnd is the data of the event that marks a stream as complete.
const completeEnd = "[DONE]"

// cmdStream: stream NAME URL key= model= [tokens=] [prompt=] [id=] [timeout=]
// starts a stream in the background.
func cmdStream(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: stream NAME URL key= model= [tokens=] [prompt=]")
	}
	s := &stream{options: parseOptions(args[2:])}
	s.prompt = s.options.get("prompt", "prompt of "+args[0])
	s.tokens, _ = strconv.Atoi(s.options.get("tokens", "40"))
	body, err := json.Marshal(map[string]any{
		"model": s.options.get("model", ""), "prompt": s.prompt, "max_tokens": s.tokens, "ignore_eos": true, "stream": true,
	})
	ts.Check(err)
	s.body = string(body)
	stateOf(ts).streams[args[0]] = s
	s.open(http.MethodPost, args[1]+"/v1/completions", s.body)
}

// open sends a request and reads the answer in the background. A request after
// the first one carries the ID of the last event.
func (s *stream) open(method, url, body string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.ended = make(chan struct{})
	s.end = ""
	lastEventID := s.lastEventID
	go func() {
		defer close(s.ended)
		end := s.read(ctx, method, url, body, lastEventID)
		s.mu.Lock()
		s.end = end
		s.mu.Unlock()
	}()
}

// read reads events until the stream ends, and returns how it ended: completeEnd,
// the body of an answer other than 200, or a description of the error.
func (s *stream) read(ctx context.Context, method, url, body, lastEventID string) string {
	request, err := newRequest(ctx, method, url, s.options, body)
	if err != nil {
		return err.Error()
	}
	if lastEventID != "" {
		request.Header.Set("Last-Event-ID", lastEventID)
	}
	response, err := callerClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	s.mu.Lock()
	s.status = response.StatusCode
	s.mu.Unlock()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		return string(data)
	}
	lines := bufio.NewScanner(response.Body)
	id, data, name := "", "", ""
	for lines.Scan() {
		field, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case field == "id":
			id = value
		case field == "event":
			name = value
		case field == "data":
			data = value
		case lines.Text() == "" && name == "error":
			return "error event: " + data
		case lines.Text() == "" && data == completeEnd:
			return completeEnd
		case lines.Text() == "" && data != "":
			s.event(id, data)
			data, name = "", ""
		}
	}
	return fmt.Sprint("stream ended without an end marker: ", lines.Err())
}

func (s *stream) event(id, data string) {
	var e struct {
		Choices []struct{ Text string }
	}
	_ = json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEventID = id
	s.events++
	if len(e.Choices) > 0 {
		s.text.WriteString(e.Choices[0].Text)
	}
}

func (s *stream) stop() {
	s.cancel()
	<-s.ended
}

func streamOf(ts *testscript.TestScript, neg bool, args []string, n int) *stream {
	if neg || len(args) < n || stateOf(ts).streams[args[0]] == nil {
		ts.Fatalf("no stream of that name, or too few arguments: %v", args)
	}
	return stateOf(ts).streams[args[0]]
}

// cmdEvents: events NAME N waits until N events have been received.
func cmdEvents(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Check(poll(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.events < want {
			return fmt.Errorf("%d events received, want %d; status %d, end %q", s.events, want, s.status, s.end)
		}
		return nil
	}))
}

// waitForEnd waits until the stream has ended and returns how it ended.
func (s *stream) waitForEnd(ts *testscript.TestScript) string {
	select {
	case <-s.ended:
	case <-time.After(waitLimit):
		ts.Fatalf("the stream has not ended within the time limit")
	}
	return s.end
}

// cmdWhole: whole NAME... waits until the streams have ended, and checks that each
// is marked as complete and has the expected text.
func cmdWhole(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		s := streamOf(ts, neg, []string{name}, 1)
		if end := s.waitForEnd(ts); end != completeEnd {
			ts.Fatalf("stream %s is not complete: status %d after %d events: %s", name, s.status, s.events, end)
		}
		expected := standin.Generate(s.options.get("model", ""), s.prompt, s.tokens, true).Text()
		if got := s.text.String(); got != expected {
			ts.Fatalf("stream %s is marked as complete but its text differs:\ngot  %q\nwant %q", name, got, expected)
		}
	}
}

// cmdBroken: broken NAME [TEXT] waits until the stream has ended, and checks that
// it is not marked as complete and that its end contains the text.
func cmdBroken(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 1)
	end := s.waitForEnd(ts)
	if end == completeEnd || (len(args) > 1 && !strings.Contains(end, args[1])) {
		ts.Fatalf("stream %s was expected to end with an error and the given text, but ended with %q", args[0], end)
	}
}

// cmdAgain: again NAME URL closes the stream's connection and sends the original
// request again with the last event's ID, for a stream that its engine has lost.
func cmdAgain(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	s.stop()
	s.open(http.MethodPost, args[1]+"/v1/completions", s.body)
}

// cmdAbandon: abandon NAME closes the stream's connection.
func cmdAbandon(ts *testscript.TestScript, neg bool, args []string) {
	streamOf(ts, neg, args, 1).stop()
}

// cmdSleep: sleep SECONDS, for scenarios that depend on elapsed time.
func cmdSleep(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.Atoi(args[0])
	ts.Check(err)
	time.Sleep(time.Duration(seconds) * time.Second)
}

// cmdReopen: reopen NAME URL [key=] closes the connection and resumes the stream
// at another address, with another key if one is given.
func cmdReopen(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	s.stop()
	for name, value := range parseOptions(args[2:]) {
		s.options[name] = value
	}
	s.open(http.MethodGet, args[1]+"/v1/streams", "")
}

// cmdBurst: burst KEY N RATE BURST URL... makes N concurrent calls, spread over the
// URLs. Each must be executed or be refused with 429 and the outcome not_run. The
// number of executed calls must be at least 1 and at most the burst and the refill
// during the calls, plus 1.
func cmdBurst(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 5 {
		ts.Fatalf("usage: burst KEY N RATE BURST URL...")
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(args[1+i])
		ts.Check(err)
		numbers[i] = n
	}
	urls := args[4:]
	start := time.Now()
	calls := make([]*call, numbers[0])
	for i := range calls {
		calls[i] = &call{done: make(chan struct{})}
		go calls[i].run(http.MethodPost, urls[i%len(urls)], options{"key": args[0]}, fmt.Sprint("burst ", i))
	}
	executed := 0
	for i, c := range calls {
		<-c.done
		refused := c.status == http.StatusTooManyRequests && strings.Contains(string(c.body), `"outcome":"not_run"`)
		if c.status == http.StatusOK {
			executed++
		} else if !refused {
			ts.Fatalf("call %d was neither executed nor refused as not run: %d %s (%v)", i, c.status, c.body, c.err)
		}
	}
	allowed := numbers[2] + int(float64(numbers[1])*time.Since(start).Seconds()) + 1
	if executed == 0 || executed > allowed {
		ts.Fatalf("%d calls were executed, want 1 to %d", executed, allowed)
	}
}
