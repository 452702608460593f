package traffic

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/origins"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/reach"
	"github.com/chestnutarch/chestnutarch/internal/retrybudget"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// script defines what an upstream does with one attempt: it writes events to out, and
// returns nil to complete the stream.
type script func(ctx context.Context, a Attempt, out io.Writer) error

// fakeUpstreams runs a script for each attempt, by instance ID.
type fakeUpstreams struct {
	scripts map[string]script
	// connect, unless nil, is called before the first byte of an attempt is written.
	connect   func(a Attempt)
	mu        sync.Mutex
	sent      []Attempt
	cancelled []string
}

func (f *fakeUpstreams) Send(ctx context.Context, a Attempt) (*Reply, error) {
	if f.connect != nil {
		f.connect(a)
	}
	if err := a.BeforeWrite(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.sent = append(f.sent, a)
	f.mu.Unlock()
	read, write := io.Pipe()
	go func() {
		err := f.scripts[a.Instance.ID](ctx, a, write)
		if err == nil {
			err = io.EOF
		} else if ctx.Err() != nil {
			f.mu.Lock()
			f.cancelled = append(f.cancelled, a.Instance.ID)
			f.mu.Unlock()
		}
		write.CloseWithError(err)
	}()
	context.AfterFunc(ctx, func() { read.CloseWithError(context.Canceled) })
	return &Reply{
		Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: read,
		Close: func(bool) { read.Close() },
	}, nil
}

// cancelledInstances returns the IDs of the upstreams whose exchanges the Core cancelled.
func (f *fakeUpstreams) cancelledInstances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.cancelled)
}

// attempts returns the attempts sent so far.
func (f *fakeUpstreams) attempts() []Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

// events writes the events from first to last, with gap between two, until ctx ends.
func events(ctx context.Context, out io.Writer, first, last int, gap time.Duration) error {
	for id := first; id <= last; id++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: x\n\n", id); err != nil {
			return err
		}
		if id == last {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(gap):
		}
	}
	return nil
}

// fakeSink records the response that a caller receives.
type fakeSink struct {
	status  int
	refusal *Refusal
	text    string
}

func (s *fakeSink) Refuse(r Refusal) { s.status, s.refusal = r.Status, &r }
func (s *fakeSink) WriteResponse(status int, _ http.Header, b []byte) {
	s.status, s.text = status, string(b)
}
func (s *fakeSink) Begin(status int, _ http.Header) { s.status = status }
func (s *fakeSink) WriteChunk(piece []byte) error   { s.text += string(piece); return nil }
func (s *fakeSink) Flush() error                    { return nil }

// fixture is a Core with engines that hold model "m".
type fixture struct {
	core      *Core
	instances map[string]*upstream.Instance
	upstreams *fakeUpstreams
	assigner  *assign.Assigner
	log       *logLines
}

func newFixture(route catalog.Route, scripts map[string]script) *fixture {
	route.Host, route.PathPrefix, route.Name = "h", "/", "r"
	route.Shares = []catalog.Share{{Service: "engines", Weight: 1}}
	config := catalog.New(1, []*catalog.Route{&route}, nil)
	config.Services["engines"] = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{
		BatchSlots: 8, KVTokens: 100_000, Models: map[string]catalog.Model{"m": {Name: "m"}},
	}}
	f := &fixture{upstreams: &fakeUpstreams{scripts: scripts}, assigner: assign.New(), log: &logLines{}, instances: make(map[string]*upstream.Instance)}
	f.assigner.SetCatalog(config)
	for id, run := range scripts {
		addEngine(f, id, run)
	}
	now := time.Now()
	f.core = New(Options{
		Upstreams: f.upstreams, Assigner: f.assigner,
		Limiter:      teamrate.New(teamrate.Tolerance{}, 1),
		Budget:       retrybudget.New(retrybudget.Limits{Ratio: 1, Slack: 100, Window: 10 * time.Second}, now.Add(-time.Minute)),
		Instance:     func(id string) *upstream.Instance { return f.instances[id] },
		VMs:          func() int { return 1 },
		UpstreamsAge: func() time.Duration { return 0 }, UpstreamsRevision: func() string { return "" }, AwaitUpstreams: func(context.Context) {},
		Forward: func(context.Context, string, Forwarded, Sink) (ForwardEnd, error) {
			return ForwardEnd{}, ErrNotForwarded
		},
		Reach: reach.NewTracker(), Quarantine: quarantine.NewTable("vm"), Liveness: func(context.Context, *upstream.Instance) Liveness { return Alive },
		MayTry:    func() bool { return true },
		ShareEnds: func([]quarantine.Key) <-chan struct{} { return nil },
		Origins:   origins.NewTable(), ShareOrigin: func(origins.Origin) {},
		AskOrigin:   func(context.Context, origins.Stream) (origins.Origin, bool) { return origins.Origin{}, false },
		OnlyVersion: func(context.Context, string) (string, bool) { return "", false },
		Outdated:    func() bool { return false },
		RecordLeaving: func(i *upstream.Instance) {
			leaving := *i
			leaving.Draining = true
			f.instances[i.ID] = &leaving
			f.assigner.UpdateInstances([]*upstream.Instance{&leaving}, nil)
		},
		EnsureAdapter: func(context.Context, AdapterRequest) (string, error) {
			return "", ErrNotSent
		},
		EnsureModel: func(context.Context, ModelRequest) (string, error) {
			return "", ErrNotSent
		},
		Log: zerolog.New(f.log),
	})
	f.core.SetCatalog(config)
	return f
}

// addEngine adds an engine that runs a script.
func addEngine(f *fixture, id string, run script) {
	f.upstreams.scripts[id] = run
	f.instances[id] = &upstream.Instance{ID: id, Service: "engines", Slots: 8, SoftwareVersion: "v1", Models: []upstream.LoadedModel{{Model: "m"}}}
	var all []upstream.Instance
	for _, i := range f.instances {
		all = append(all, *i)
	}
	f.assigner.SetInstances(all)
}

func (f *fixture) serve(ctx context.Context, id string) (*fakeSink, error) {
	sink := &fakeSink{}
	err := f.core.Serve(ctx, &Request{
		ID: id, Host: "h", Path: "/", Method: http.MethodPost, Arrived: time.Now(), Timeout: 20 * time.Second, Model: "m",
		PromptTokens: 100, OutputTokens: 100, TokensDeclared: true,
	}, sink)
	return sink, err
}

// logLines collects the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (l *logLines) Write(line []byte) (int, error) {
	fields := make(map[string]any)
	if err := json.Unmarshal(line, &fields); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, fields)
	return len(line), nil
}

// lastOf returns the last line of an event about a request, nil if there is none.
func (l *logLines) lastOf(event, request string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range slices.Backward(l.lines) {
		if line["event"] == event && line["request"] == request {
			return line
		}
	}
	return nil
}
