package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
	"github.com/chestnutarch/chestnutarch/internal/route"
	"github.com/chestnutarch/chestnutarch/internal/service"
)

// upstream is a test server that acts as an engine and as a plain service. It counts
// the completions by "user" and the actions by body, and injects faults.
type upstream struct {
	*httptest.Server
	mu      sync.Mutex
	runs    map[string]int
	streams map[string]int
	headers http.Header
	// events is the length of every stream. A response is reset after breakAfter
	// events, breaks times in total.
	events, breakAfter, breaks int
	// forget makes resumes answer 404.
	forget bool
	// hold blocks streams after their first event until the channel is closed.
	hold chan struct{}
	// drop closes the connection of a service call after it has run.
	drop bool
	// padding is appended to the text of every event.
	padding string
	// cancels counts the calls that cancel a stream.
	cancels atomic.Int64
}

func newUpstream(t testing.TB) *upstream {
	u := &upstream{runs: make(map[string]int), streams: make(map[string]int), events: 5}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", u.handleCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", u.handleResume)
	mux.HandleFunc("POST /v1/streams/{id}/cancel", func(http.ResponseWriter, *http.Request) { u.cancels.Add(1) })
	mux.HandleFunc("/filings", u.handleFiling)
	u.Server = httptest.NewServer(mux)
	t.Cleanup(u.Close)
	return u
}

func (u *upstream) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body struct{ User string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	u.mu.Lock()
	u.runs[body.User]++
	u.headers = r.Header.Clone()
	u.mu.Unlock()
	u.stream(w, r, r.Header.Get("X-Request-Id"))
}

func (u *upstream) handleResume(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.PathValue("id"))
	u.mu.Lock()
	forget := u.forget
	u.mu.Unlock()
	if forget {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	u.stream(w, r, r.PathValue("id"))
}

func (u *upstream) stream(w http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("X-Request-Id", id)
	controller := http.NewResponseController(w)
	for n := after + 1; n <= u.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"text\":\"%s.%d %s\"}]}\n\n", n, id, id, n, u.padding)
		_ = controller.Flush()
		if u.hold != nil {
			select {
			case <-u.hold:
			case <-r.Context().Done():
				return
			}
		}
		if n-after == u.breakAfter && u.shouldBreak() {
			panic(http.ErrAbortHandler)
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// update changes the upstream's behaviour under its lock.
func (u *upstream) update(change func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change()
}

func (u *upstream) shouldBreak() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.breaks--
	return u.breaks >= 0
}

func (u *upstream) handleFiling(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.runs[string(body)]++
	drop := u.drop
	u.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	fmt.Fprintf(w, "receipt for %s", body)
}

func (u *upstream) count(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[body]
}

// configuration is a Configuration and Readiness that tests can change.
type configuration struct {
	snapshot atomic.Pointer[configstate.Snapshot]
}

// Snapshot implements Configuration.
func (c *configuration) Snapshot() *configstate.Snapshot { return c.snapshot.Load() }

// Fresh implements Configuration.
func (c *configuration) Fresh() bool { return true }

// Ready implements Readiness.
func (c *configuration) Ready() error { return nil }

// set publishes a document with two teams and the given withdrawn key digests.
func (c *configuration) set(urls []string, withdrawn ...string) {
	doc := &document.Document{
		Teams: []document.Team{
			{Name: "one", Weight: 1, Rate: 1e6, Burst: 1e6, Keys: []document.Key{{ID: "k1", SHA256: configstate.DigestKey("key-one")}}},
			{Name: "two", Weight: 1, Rate: 1e6, Burst: 1e6, Keys: []document.Key{{ID: "k2", SHA256: configstate.DigestKey("key-two")}}},
		},
		Models:   []document.Model{{Name: "m", Version: "v"}},
		Services: []document.Service{{Name: "registry"}},
		Routes:   []document.Route{{Path: "/filings", Service: "registry", Repeat: document.RepeatNever, Cost: 1, Timeout: 5 * time.Second}},
	}
	for i, url := range urls {
		doc.Engines = append(doc.Engines, document.Engine{Name: fmt.Sprint("e", i), URL: url})
		doc.Services[0].Replicas = append(doc.Services[0].Replicas, document.ServiceReplica{Name: fmt.Sprint("s", i), URL: url})
	}
	c.snapshot.Store(configstate.NewSnapshot(1, "c", "d", doc, withdrawn))
}

// fleet is a group of VMs in one process that share the same upstreams.
type fleet struct {
	config configuration
	urls   []string
	store  *kvtest.Memory
	ring   *resume.Keyring
	mu     sync.Mutex
	claims map[string]*claims.Claims
	relays map[string]*relay.Relay
	vms    []*httptest.Server
	// maxInFlight bounds the requests in flight at an engine.
	maxInFlight int
	// timing replaces the default streamTiming unless it is zero.
	timing streamTiming
}

func newFleet(t testing.TB, vms, maxInFlight int, urls ...string) *fleet {
	return newFleetWithTiming(t, vms, maxInFlight, streamTiming{}, urls...)
}

func newFleetWithTiming(t testing.TB, vms, maxInFlight int, timing streamTiming, urls ...string) *fleet {
	ring, err := resume.NewKeyring([]byte(strings.Repeat("s", resume.MinSecretBytes)))
	require.NoError(t, err)
	f := &fleet{
		urls: urls, store: kvtest.NewMemory(nil), ring: ring, maxInFlight: maxInFlight, timing: timing,
		claims: make(map[string]*claims.Claims), relays: make(map[string]*relay.Relay),
	}
	f.config.set(urls)
	for i := range vms {
		f.vms = append(f.vms, f.start(t, fmt.Sprint("vm", i)))
	}
	return f
}

func (f *fleet) models() *route.Fleet {
	out := &route.Fleet{}
	for _, e := range f.config.Snapshot().Document.Engines {
		out.Engines = append(out.Engines, route.Engine{Name: e.Name, URL: e.URL, Reachable: true, Ready: map[route.Item][]string{{Model: "m"}: {"v"}}})
	}
	return out
}

func (f *fleet) pools() *route.Fleet {
	return route.PoolFleet(f.config.Snapshot().Document.Services, func(string) bool { return false })
}

func (f *fleet) teams() []document.Team { return f.config.Snapshot().Document.Teams }

// start starts the server of one VM.
func (f *fleet) start(t testing.TB, name string) *httptest.Server {
	engines := engine.NewClient(engine.ClientOptions{})
	models, pools := f.models(), f.pools()
	o := Options{
		Configuration: &f.config, Readiness: &f.config, VM: name, Ring: f.ring, Releaser: f,
		Limiter:  f.limiter(),
		Relay:    relay.New(relay.Options{Engines: engines, Grace: 100 * time.Millisecond}),
		Claims:   claims.New(claims.Options{Store: f.store, Environment: "test", VM: name, Querier: f}),
		Services: service.NewClient(service.ClientOptions{}),
		Leaving:  func() bool { return false },
		Limits:   Limits{MaxBodyBytes: 1 << 20, MaxInFlight: 10000, RequestTimeout: 20 * time.Second},
		Log:      zerolog.Nop(), Metrics: metrics.NewRegistry(),
	}
	d := dispatch.New(dispatch.Options{Fleet: func() *route.Fleet { return models }, Teams: f.teams, Route: route.Options{MaxInFlight: f.maxInFlight}})
	p := dispatch.New(dispatch.Options{Fleet: func() *route.Fleet { return pools }, Teams: f.teams})
	o.Models, o.Pools = d, p
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context) error{d.Run, p.Run, o.Claims.(*claims.Claims).Run} {
		running.Go(func() { _ = run(ctx) })
	}
	f.mu.Lock()
	f.claims[name], f.relays[name] = o.Claims.(*claims.Claims), o.Relay
	f.mu.Unlock()
	handler := NewHandler(o)
	if f.timing != (streamTiming{}) {
		handler.timing = f.timing
	}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.Close()
		cancel()
		running.Wait()
		engines.Close()
	})
	return server
}

// limiter returns a limiter that admits everything: its clock advances by an hour with
// every reading.
func (f *fleet) limiter() ratelimit.Limiter {
	var hours atomic.Int64
	l := ratelimit.NewStatic(1, func() time.Duration { return time.Duration(hours.Add(1)) * time.Hour })
	l.SetLimits(1, []ratelimit.Limit{{Team: "one", Rate: 1e6, Burst: 1e6}, {Team: "two", Rate: 1e6, Burst: 1e6}})
	return l
}

// QueryAttempt implements claims.AttemptQuerier.
func (f *fleet) QueryAttempt(_ context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, answer := f.claims[vm].State(attempt)
	return state, answer, nil
}

// Release implements Releaser.
func (f *fleet) Release(vm, stream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays[vm].Release(stream)
}

// answer is a response as received by a caller.
type answer struct {
	status int
	header http.Header
	body   string
	// ids and texts are the event IDs and data of a stream.
	ids   []string
	texts []string
}

// problem decodes the error in the body.
func (a *answer) problem(t testing.TB) Problem {
	var body problemBody
	require.NoError(t, json.Unmarshal([]byte(a.body), &body), a.body)
	require.NotNil(t, body.Error, a.body)
	return *body.Error
}

// call sends a request to a VM.
func (f *fleet) call(t testing.TB, vm int, method, path, key, body string, header ...string) *answer {
	req, err := http.NewRequest(method, f.vms[vm].URL+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	a := &answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
	for line := range strings.Lines(a.body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.ids = append(a.ids, strings.TrimSpace(id))
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			a.texts = append(a.texts, strings.TrimSpace(text))
		}
	}
	return a
}

const (
	completionBody = `{"model":"m","prompt":"hello","stream":%t,"user":"%s"}`
	completionPath = "/v1/completions"
)
