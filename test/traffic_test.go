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

func parse(args []string) options {
	o := make(options)
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		o[name] = value
	}
	return o
}

func (o options) get(name, otherwise string) string {
	if v, ok := o[name]; ok {
		return v
	}
	return otherwise
}

// traffic is the callers' client: it keeps connections, as callers do.
var traffic = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

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
// prints the answer's body. With want=any every status is taken, and no answer
// prints the error; until= repeats the call until it is answered so.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: call URL [name=value...]")
	}
	o := parse(args[1:])
	body := o.get("body", "")
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	if until := o.get("until", ""); until != "" {
		ts.Check(poll(func() error {
			again := &call{done: make(chan struct{})}
			again.run(o.get("method", method), args[0], o, body)
			if strconv.Itoa(again.status) != until {
				return fmt.Errorf("%s answered %d (%v), not %s: %s", args[0], again.status, again.err, until, again.body)
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
	c.judge(ts, o.get("want", "200"))
}

func (c *call) run(method, url string, o options, body string) {
	defer close(c.done)
	ctx, cancel := context.WithTimeout(context.Background(), never)
	defer cancel()
	request, err := newRequest(ctx, method, url, o, body)
	if err != nil {
		c.err = err
		return
	}
	response, err := traffic.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	c.status = response.StatusCode
	c.body, c.err = io.ReadAll(response.Body)
}

func (c *call) judge(ts *testscript.TestScript, want string) {
	<-c.done
	_, _ = ts.Stdout().Write(append(c.body, '\n'))
	if c.err != nil {
		_, _ = fmt.Fprintln(ts.Stdout(), c.err)
	}
	if want == "any" {
		return
	}
	if c.err != nil || strconv.Itoa(c.status) != want {
		ts.Fatalf("answered %d (%v), not %s: %s", c.status, c.err, want, c.body)
	}
}

// cmdWarm: warm URL... waits until each entry VM is ready and has answered for
// every model, so that a scenario does not also test how soon that is.
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

// cmdJoin: join NAME [want=STATUS]
func cmdJoin(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 || stateOf(ts).calls[args[0]] == nil {
		ts.Fatalf("usage: join NAME [want=STATUS]")
	}
	stateOf(ts).calls[args[0]].judge(ts, parse(args[1:]).get("want", "200"))
}

// stream is one generation that is read in the background, over any number of
// connections.
type stream struct {
	o      options
	prompt string
	tokens int
	body   string
	cancel context.CancelFunc

	mu     sync.Mutex
	text   strings.Builder
	events int
	token  string
	ended  chan struct{}
	status int
	end    string
}

// wholeEnd is how a stream ends that says it is whole.
const wholeEnd = "[DONE]"

// cmdStream: stream NAME URL key= model= [tokens=] [prompt=] [id=] [timeout=]
func cmdStream(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: stream NAME URL key= model= [tokens=] [prompt=]")
	}
	s := &stream{o: parse(args[2:])}
	s.prompt = s.o.get("prompt", "prompt of "+args[0])
	s.tokens, _ = strconv.Atoi(s.o.get("tokens", "40"))
	body, err := json.Marshal(map[string]any{
		"model": s.o.get("model", ""), "prompt": s.prompt, "max_tokens": s.tokens, "ignore_eos": true, "stream": true,
	})
	ts.Check(err)
	s.body = string(body)
	stateOf(ts).streams[args[0]] = s
	s.open(http.MethodPost, args[1]+"/v1/completions", s.body)
}

func (s *stream) open(method, url, body string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.ended = make(chan struct{})
	s.end = ""
	token := s.token
	go func() {
		defer close(s.ended)
		end := s.read(ctx, method, url, body, token)
		s.mu.Lock()
		s.end = end
		s.mu.Unlock()
	}()
}

func (s *stream) read(ctx context.Context, method, url, body, token string) string {
	request, err := newRequest(ctx, method, url, s.o, body)
	if err != nil {
		return err.Error()
	}
	if token != "" {
		request.Header.Set("Last-Event-ID", token)
	}
	response, err := traffic.Do(request)
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
		case lines.Text() == "" && data == wholeEnd:
			return wholeEnd
		case lines.Text() == "" && data != "":
			s.event(id, data)
			data, name = "", ""
		}
	}
	return fmt.Sprint("broke off: ", lines.Err())
}

func (s *stream) event(id, data string) {
	var e struct {
		Choices []struct{ Text string }
	}
	_ = json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&e)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.token = id
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
		ts.Fatalf("no such stream: %v", args)
	}
	return stateOf(ts).streams[args[0]]
}

// cmdEvents: events NAME N waits until N events have come.
func cmdEvents(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	ts.Check(poll(func() error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.events < want {
			return fmt.Errorf("%d events came, not %d; status %d, end %q", s.events, want, s.status, s.end)
		}
		return nil
	}))
}

func (s *stream) finish(ts *testscript.TestScript) string {
	select {
	case <-s.ended:
	case <-time.After(never):
		ts.Fatalf("the stream has not ended")
	}
	return s.end
}

// cmdWhole: whole NAME... waits for the ends and compares the texts.
func cmdWhole(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		s := streamOf(ts, neg, []string{name}, 1)
		if end := s.finish(ts); end != wholeEnd {
			ts.Fatalf("%s: status %d after %d events: %s", name, s.status, s.events, end)
		}
		expected := standin.Generate(s.o.get("model", ""), s.prompt, s.tokens, true).Text()
		if got := s.text.String(); got != expected {
			ts.Fatalf("%s says it is whole but is not:\ngot  %q\nwant %q", name, got, expected)
		}
	}
}

// cmdBroken: broken NAME [TEXT] waits for an end that does not claim to be
// whole and contains the text.
func cmdBroken(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 1)
	end := s.finish(ts)
	if end == wholeEnd || (len(args) > 1 && !strings.Contains(end, args[1])) {
		ts.Fatalf("%s ended with %q", args[0], end)
	}
}

// cmdAgain: again NAME URL drops the stream's connection and sends the original
// request again with the last event's ID, for a stream that its engine has lost.
func cmdAgain(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	s.stop()
	s.open(http.MethodPost, args[1]+"/v1/completions", s.body)
}

// cmdAbandon: abandon NAME drops the stream's connection.
func cmdAbandon(ts *testscript.TestScript, neg bool, args []string) {
	streamOf(ts, neg, args, 1).stop()
}

// cmdSleep: sleep SECONDS, where a scenario is about the passing of time.
func cmdSleep(ts *testscript.TestScript, neg bool, args []string) {
	seconds, err := strconv.Atoi(args[0])
	ts.Check(err)
	time.Sleep(time.Duration(seconds) * time.Second)
}

// cmdReopen: reopen NAME URL [key=] drops the connection and takes the stream
// up again at another address, perhaps with another key.
func cmdReopen(ts *testscript.TestScript, neg bool, args []string) {
	s := streamOf(ts, neg, args, 2)
	s.stop()
	for name, value := range parse(args[2:]) {
		s.o[name] = value
	}
	s.open(http.MethodGet, args[1]+"/v1/streams", "")
}

// cmdBurst: burst KEY N RATE BURST URL... makes N calls at once, spread over the
// URLs. Each may be executed, or refused as not run for its rate; in all, no more
// may be executed than the burst and what the rate adds meanwhile.
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
			ts.Fatalf("call %d: %d %s (%v)", i, c.status, c.body, c.err)
		}
	}
	most := numbers[2] + int(float64(numbers[1])*time.Since(start).Seconds()) + 1
	if executed == 0 || executed > most {
		ts.Fatalf("%d calls were executed, the rate allows %d", executed, most)
	}
}
