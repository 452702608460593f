package relay

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/oracle"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const streamID = "s-1"

// fault is how an engine ends one exchange.
type fault string

const (
	whole     fault = "whole"
	reset     fault = "reset"
	truncate  fault = "truncate"
	hole      fault = "hole"
	misrouted fault = "misrouted"
	silent    fault = "silent"
	refuse    fault = "refuse"
	unknown   fault = "unknown"
)

// exchange is what an engine does with one request: a number of events, then a
// fault.
type exchange struct {
	events int
	fault  fault
}

// engines is one server that stands for all engines. It goes through a script of
// exchanges and is whole after it.
type engines struct {
	*httptest.Server
	mu       sync.Mutex
	length   int
	script   []exchange
	cancels  int
	released chan struct{}
}

func newEngines(length int, script ...exchange) *engines {
	e := &engines{length: length, script: script, released: make(chan struct{})}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	return e
}

func (e *engines) close() {
	close(e.released)
	e.Close()
}

func (e *engines) next() exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return exchange{events: e.length, fault: whole}
	}
	x := e.script[0]
	e.script = e.script[1:]
	return x
}

func (e *engines) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/cancel") {
		e.mu.Lock()
		e.cancels++
		e.mu.Unlock()
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	x := e.next()
	w.Header().Set("X-Request-Id", streamID)
	switch x.fault {
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case unknown:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.write(w, after, x)
	_ = http.NewResponseController(w).Flush()
	switch x.fault {
	case reset:
		panic(http.ErrAbortHandler)
	case silent:
		select {
		case <-e.released:
		case <-r.Context().Done():
		}
	}
}

func (e *engines) write(w http.ResponseWriter, after int, x exchange) {
	last := min(after+x.events, e.length)
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q}\n\n", id, streamID)
	}
	switch {
	case x.fault == misrouted:
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"other\"}\n\n", last+1)
	case x.fault == hole && last+2 <= e.length:
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q}\n\n", last+2, streamID)
	case x.fault == whole && last == e.length:
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", last+1)
	}
}

// reader is a caller that keeps what it gets, and may go away after some events.
type reader struct {
	ids    []int64
	done   bool
	goneAt int
}

var errGone = errors.New("gone")

// Attach implements Sink.
func (*reader) Attach(Place) error { return nil }

// Event implements Sink.
func (r *reader) Event(e engine.Event) error {
	if r.goneAt > 0 && len(r.ids) >= r.goneAt {
		return errGone
	}
	if e.Done {
		r.done = true
		return nil
	}
	r.ids = append(r.ids, e.ID)
	return nil
}

// carry relays one stream of the engines.
func carry(ctx context.Context, e *engines, sink Sink, rereads bool) (*Relay, func() (Result, error)) {
	client := engine.NewClient(engine.ClientOptions{IdleLimit: 60 * time.Millisecond, ResumeLimit: 60 * time.Millisecond})
	r := New(Options{Engines: client, Grace: 50 * time.Millisecond})
	r.rereads = rereads
	fleet := &route.Fleet{Engines: []route.Engine{
		{Name: "a", URL: e.URL, Reachable: true, Ready: map[route.Item][]string{{Model: "m"}: {"v"}}},
		{Name: "b", URL: e.URL, Reachable: true, Ready: map[route.Item][]string{{Model: "m"}: {"v"}}},
	}}
	d := dispatch.New(dispatch.Options{Fleet: func() *route.Fleet { return fleet }, Teams: noTeams})
	running, stop := context.WithCancel(context.Background())
	go func() { _ = d.Run(running) }()
	job := Job{
		StreamID: streamID, Path: "/v1/completions", Body: []byte("{}"),
		Acquire: func(ctx context.Context, avoid []string) (*dispatch.Grant, error) {
			return d.Acquire(ctx, dispatch.Request{
				Team: "x", Item: route.Item{Model: "m"}, Version: "v", Avoid: avoid, Deadline: time.Now().Add(time.Minute),
			})
		},
	}
	return r, func() (Result, error) {
		defer client.Close()
		defer stop()
		return r.Run(ctx, job, sink)
	}
}

// walk breaks a stream by a drawn script.
func walk(rereads bool) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		faults := []fault{reset, truncate, hole, misrouted, silent, refuse, unknown}
		length := rapid.IntRange(0, 12).Draw(t, "length")
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) exchange {
			return exchange{rapid.IntRange(0, 6).Draw(t, "events"), rapid.SampledFrom(faults).Draw(t, "fault")}
		}), 0, 5).Draw(t, "script")
		e := newEngines(length, script...)
		defer e.close()
		sink := &reader{}
		_, run := carry(context.Background(), e, sink, rereads)
		_, err := run()
		for i, id := range sink.ids {
			require.Equal(o, int64(i+1), id, "a gap or a repeat")
		}
		require.Equal(o, err == nil, sink.done, "the end does not say whether the answer is whole")
		if sink.done {
			require.Len(o, sink.ids, length)
		}
	}
}

// Connections to engines are reset, go silent, lose events or carry another
// request's, engines refuse and forget. A caller would read a text with a hole or
// a repeat, somebody else's words, or half an answer that looks whole.
func TestStreamsHaveNoGapAndNoRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { walk(false)(t, t) })
}

func TestPlantedFaultIsFound(t *testing.T) {
	first := oracle.FirstSeed(60, walk(true))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("rereads: found with seed %d", first)
}

// A stream breaks after every few events for as long as it lasts. Its caller must
// get the whole of it all the same.
func TestStreamThatBreaksOftenIsServedWhole(t *testing.T) {
	script := make([]exchange, 20)
	for i := range script {
		script[i] = exchange{events: 2, fault: []fault{reset, truncate, hole, misrouted}[i%4]}
	}
	e := newEngines(50, script...)
	defer e.close()
	sink := &reader{}
	_, run := carry(t.Context(), e, sink, false)
	result, err := run()
	require.NoError(t, err)
	require.Len(t, sink.ids, 50)
	require.Equal(t, int64(50), result.Events)
}

// The caller's connection is lost in the middle. The engine goes on for the grace
// time, in case he comes back, and is then told to stop.
func TestEngineIsStoppedWhenTheCallerStaysAway(t *testing.T) {
	e := newEngines(50, exchange{events: 5, fault: silent}, exchange{fault: silent}, exchange{fault: silent})
	defer e.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, run := carry(context.WithoutCancel(ctx), e, &reader{goneAt: 3}, false)
	_, err := run()
	require.ErrorIs(t, err, ErrCallerGone)
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.cancels == 1
	}, 5*time.Second, time.Millisecond)
}

// The caller reads on at another VM. This one must let go without stopping the
// engine, which would cut off the answer there.
func TestStreamTakenOverIsNotStopped(t *testing.T) {
	e := newEngines(50, exchange{events: 5, fault: silent}, exchange{fault: silent})
	defer e.close()
	r, run := carry(t.Context(), e, &reader{}, false)
	done := make(chan error, 1)
	go func() {
		_, err := run()
		done <- err
	}()
	require.Eventually(t, func() bool { return r.Release(streamID) }, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, <-done, ErrTakenOver)
	require.False(t, r.Release(streamID))
	require.Zero(t, e.cancels)
}

func noTeams() []document.Team { return nil }
