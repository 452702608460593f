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

// fault is the way in which an engine ends one exchange.
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

// exchange is the scripted response to one request: a number of events, then a fault.
type exchange struct {
	events int
	fault  fault
}

// fakeEngine is one server that plays all engines. It follows a script of exchanges and
// serves complete streams after it.
type fakeEngine struct {
	*httptest.Server
	mu           sync.Mutex
	streamLength int
	script       []exchange
	cancels      int
	released     chan struct{}
}

func newFakeEngine(length int, script ...exchange) *fakeEngine {
	e := &fakeEngine{streamLength: length, script: script, released: make(chan struct{})}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	return e
}

func (e *fakeEngine) close() {
	close(e.released)
	e.Close()
}

func (e *fakeEngine) next() exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.script) == 0 {
		return exchange{events: e.streamLength, fault: whole}
	}
	x := e.script[0]
	e.script = e.script[1:]
	return x
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
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

func (e *fakeEngine) write(w http.ResponseWriter, after int, x exchange) {
	last := min(after+x.events, e.streamLength)
	for id := after + 1; id <= last; id++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q}\n\n", id, streamID)
	}
	switch {
	case x.fault == misrouted:
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"other\"}\n\n", last+1)
	case x.fault == hole && last+2 <= e.streamLength:
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q}\n\n", last+2, streamID)
	case x.fault == whole && last == e.streamLength:
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", last+1)
	}
}

// recordingSink records the events it receives. If failAfter is positive, it fails after
// that many events, like a caller who disconnects.
type recordingSink struct {
	ids       []int64
	done      bool
	failAfter int
}

var errCallerGone = errors.New("gone")

// Attach implements Sink.
func (*recordingSink) Attach(Location) error { return nil }

// Event implements Sink.
func (r *recordingSink) Event(e engine.Event) error {
	if r.failAfter > 0 && len(r.ids) >= r.failAfter {
		return errCallerGone
	}
	if e.Done {
		r.done = true
		return nil
	}
	r.ids = append(r.ids, e.ID)
	return nil
}

// newTestRelay returns a relay and a function that runs one stream of the fake engine
// through it.
func newTestRelay(ctx context.Context, e *fakeEngine, sink Sink, rereads bool) (*Relay, func() (Result, error)) {
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

// faultWalk runs a stream through a random script of faults.
func faultWalk(rereads bool) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		faults := []fault{reset, truncate, hole, misrouted, silent, refuse, unknown}
		length := rapid.IntRange(0, 12).Draw(t, "length")
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) exchange {
			return exchange{rapid.IntRange(0, 6).Draw(t, "events"), rapid.SampledFrom(faults).Draw(t, "fault")}
		}), 0, 5).Draw(t, "script")
		e := newFakeEngine(length, script...)
		defer e.close()
		sink := &recordingSink{}
		_, run := newTestRelay(context.Background(), e, sink, rereads)
		_, err := run()
		for i, id := range sink.ids {
			require.Equal(o, int64(i+1), id, "the event IDs have a gap or a repeat")
		}
		require.Equal(o, err == nil, sink.done, "the final event must be delivered if and only if the run returns no error")
		if sink.done {
			require.Len(o, sink.ids, length)
		}
	}
}

// Connections to engines are reset, go silent, lose events or deliver another request's
// events; engines refuse requests and lose streams. Guards against an answer with a gap
// or a repeat, with another request's content, or truncated without an error.
func TestStreamsHaveNoGapAndNoRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { faultWalk(false)(t, t) })
}

func TestPlantedFaultIsFound(t *testing.T) {
	first := oracle.FirstSeed(60, faultWalk(true))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("planted fault rereads: found with seed %d", first)
}

// A stream's connection fails after every few events until the end. The caller must
// still receive the complete stream.
func TestStreamThatFailsOftenIsCompleted(t *testing.T) {
	script := make([]exchange, 20)
	for i := range script {
		script[i] = exchange{events: 2, fault: []fault{reset, truncate, hole, misrouted}[i%4]}
	}
	e := newFakeEngine(50, script...)
	defer e.close()
	sink := &recordingSink{}
	_, run := newTestRelay(t.Context(), e, sink, false)
	result, err := run()
	require.NoError(t, err)
	require.Len(t, sink.ids, 50)
	require.Equal(t, int64(50), result.Events)
}

// The caller's connection is lost in the middle of a stream. The stream must continue for
// the grace period, in case the caller reconnects, and then be cancelled at the engine.
func TestEngineIsStoppedAfterGracePeriod(t *testing.T) {
	e := newFakeEngine(50, exchange{events: 5, fault: silent}, exchange{fault: silent}, exchange{fault: silent})
	defer e.close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, run := newTestRelay(context.WithoutCancel(ctx), e, &recordingSink{failAfter: 3}, false)
	_, err := run()
	require.ErrorIs(t, err, ErrCallerGone)
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.cancels == 1
	}, 5*time.Second, time.Millisecond)
}

// The caller continues the stream at another VM. This VM must release the stream without
// stopping the engine, which would truncate the answer there.
func TestStreamTakenOverIsNotStopped(t *testing.T) {
	e := newFakeEngine(50, exchange{events: 5, fault: silent}, exchange{fault: silent})
	defer e.close()
	r, run := newTestRelay(t.Context(), e, &recordingSink{}, false)
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
