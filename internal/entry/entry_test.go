package entry

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/credentials/certtest"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

const (
	teamKey     = "team-key"
	operatorKey = "operator-key"
	// never bounds waits for what must happen.
	never = 30 * time.Second
	// often is the pause between two looks.
	often = 20 * time.Millisecond
)

const documentText = `environment: trial
failure_domains: [a, b]
teams: [{name: one, weight: 1, rate: 100000, burst: 100000, keys: [{id: k1, sha256: %s}]}]
models: [{name: chat, version: v1, memory: 1GiB}]
engines: [{name: e1, url: "%s", failure_domain: a, memory: 8GiB, kv_cache_reserve: 1GiB, fencing: enforced}]
weight_store: {loads_per_second: 10, concurrent_loads: 4}
promotion: {min_time_in_force: 1h, min_requests: 1, min_attainment: 0.5, max_error_share: 0.5}
`

// world is a key-value service, an engine that has its model, and entry VMs.
type world struct {
	kv     *standin.Server
	engine *standin.Server
	files  certtest.Files
	client *http.Client
	vms    []*Process
	stop   []context.CancelFunc
	ended  []chan error
}

// newWorld starts n entry VMs with TLS on every hop between own processes and
// towards callers and operators.
func newWorld(t *testing.T, n int) *world {
	w := &world{files: certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")}
	w.kv = start(t, standin.NewKV(standin.KVOptions{}))
	w.engine = start(t, standin.NewEngine(standin.EngineOptions{
		Name: "e1", Memory: 8 * document.GiB, KVCacheReserve: document.GiB, Fencing: document.FencingEnforced, TimeScale: 100,
		Resident: []standin.ResidentOption{{Model: "chat", Version: "v1", Memory: document.GiB}},
	}))
	pem, err := os.ReadFile(w.files.Authority)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(pem))
	w.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress(t)
	}
	for i := range n {
		w.startVM(t, i, peers)
	}
	w.apply(t)
	return w
}

func start(t *testing.T, s standin.Standin) *standin.Server {
	server, err := standin.Start("127.0.0.1:0", s)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (w *world) startVM(t *testing.T, i int, peers []string) {
	files := settings.Certificate(w.files)
	callers := freeAddress(t)
	s := &settings.Entry{
		VM: fmt.Sprintf("vm%d", i+1), Environment: "trial", FailureDomain: string(rune('a' + i%2)),
		Listen: settings.EntryListen{Callers: callers, Operators: "127.0.0.1:0", Peers: peers[i]},
		Peers:  peers,
		KV:     settings.KV{URLs: []string{w.kv.URL()}},
		TLS: settings.TLS{
			Callers: settings.Certificate{Certificate: files.Certificate, Key: files.Key}, Operators: files, Peers: files,
		},
		Operators:     []settings.OperatorKey{{ID: "eva", SHA256: configstate.DigestKey(operatorKey)}},
		ResumeSecrets: []string{"0123456789abcdef0123456789abcdef"},
		Limits:        settings.Limits{AddressLifetime: 200 * time.Millisecond},
	}
	s.Provision()
	ctx, cancel := context.WithCancel(t.Context())
	p, err := New(ctx, s, zerolog.Nop())
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	w.vms, w.stop, w.ended = append(w.vms, p), append(w.stop, cancel), append(w.ended, ended)
	t.Cleanup(func() {
		cancel()
		<-ended
		ended <- nil
	})
}

func (w *world) apply(t *testing.T) {
	_, operators := w.vms[0].Addresses()
	client := &operator.Client{Server: "https://" + operators, Key: operatorKey, HTTP: w.client}
	text := fmt.Sprintf(documentText, configstate.DigestKey(teamKey), w.engine.URL())
	answer, err := client.Apply(t.Context(), &operator.ApplyRequest{
		ChangeRequest: operator.ChangeRequest{ChangeID: "c1", Nonce: "n1"}, Document: text,
	})
	require.NoError(t, err)
	require.Equal(t, operator.OutcomeTookEffect, answer.Outcome)
	for i := range w.vms {
		require.Eventually(t, func() bool { return w.vms[i].Ready() == nil && w.complete(t, i) == http.StatusOK }, never, often)
	}
}

// complete makes one request at a VM and returns its status.
func (w *world) complete(t *testing.T, vm int) int {
	callers, _ := w.vms[vm].Addresses()
	body := `{"model":"chat","prompt":"hello","max_tokens":4}`
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+callers+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+teamKey)
	answer, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	return answer.StatusCode
}

func (w *world) named(t *testing.T, vm int) []string {
	callers, _ := w.vms[vm].Addresses()
	answer, err := w.client.Get("https://" + callers + "/v1/addresses")
	require.NoError(t, err)
	defer answer.Body.Close()
	var body struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
	}
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&body))
	var urls []string
	for _, a := range body.Addresses {
		urls = append(urls, a.URL)
	}
	return urls
}

// Own processes talk over networks that others can read. With certificates on
// every hop the VMs still have to find each other, and a caller still has to be
// served.
func TestServesOverTLSOnEveryHop(t *testing.T) {
	w := newWorld(t, 2)
	require.Eventually(t, func() bool { return len(w.named(t, 0)) == 2 }, never, often)
	require.True(t, strings.HasPrefix(w.named(t, 0)[0], "https://127.0.0.1:"))
}

// A VM is stopped for an update. Callers that ask for an address must no longer
// be sent there, and those that hold its address are served until it has run out.
func TestStoppingVMLeavesTheAddressAnswersFirst(t *testing.T) {
	w := newWorld(t, 2)
	require.Eventually(t, func() bool { return len(w.named(t, 0)) == 2 }, never, often)
	w.stop[1]()
	require.Eventually(t, func() bool { return w.vms[1].leaving.Load() }, never, often)
	require.Equal(t, http.StatusOK, w.complete(t, 1), "a caller that still holds the address")
	require.Eventually(t, func() bool { return len(w.named(t, 0)) == 1 }, never, often)
	err := <-w.ended[1]
	w.ended[1] <- err
	require.NoError(t, err)
}

// An operator looks for the hop that is slow. A trace that ends at the entry VM
// could not tell.
func TestTraceHasASpanForEachHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer otel.SetTracerProvider(before)
	w := newWorld(t, 1)
	spans.Reset()
	require.Equal(t, http.StatusOK, w.complete(t, 0))
	require.Eventually(t, func() bool { return tracedHops(spans.GetSpans()) }, never, often)
}

// tracedHops reports whether a caller's span has an engine's span below it.
func tracedHops(spans tracetest.SpanStubs) bool {
	for _, caller := range spans {
		if !strings.HasPrefix(caller.Name, "caller POST") {
			continue
		}
		for _, engine := range spans {
			if engine.Name == "HTTP POST" && engine.SpanContext.TraceID() == caller.SpanContext.TraceID() {
				return true
			}
		}
	}
	return false
}
