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
	// waitTimeout bounds the wait for a condition that must become true.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

const documentText = `environment: trial
failure_domains: [a, b]
teams: [{name: one, weight: 1, rate: 100000, burst: 100000, keys: [{id: k1, sha256: %s}]}]
models: [{name: chat, version: v1, memory: 1GiB}]
engines: [{name: e1, url: "%s", failure_domain: a, memory: 8GiB, kv_cache_reserve: 1GiB, fencing: enforced}]
weight_store: {loads_per_second: 10, concurrent_loads: 4}
promotion: {min_time_in_force: 1h, min_requests: 1, min_attainment: 0.5, max_error_share: 0.5}
`

// testCluster is a key-value service, an engine with its model loaded, and entry VMs.
type testCluster struct {
	kv        *standin.Server
	engine    *standin.Server
	files     certtest.Files
	client    *http.Client
	vms       []*Process
	cancels   []context.CancelFunc
	runErrors []chan error
}

// newTestCluster starts n entry VMs. TLS is enabled between the VMs and towards callers
// and operators.
func newTestCluster(t *testing.T, n int) *testCluster {
	c := &testCluster{files: certtest.New(t).Issue(t, t.TempDir(), "127.0.0.1")}
	c.kv = start(t, standin.NewKV(standin.KVOptions{}))
	c.engine = start(t, standin.NewEngine(standin.EngineOptions{
		Name: "e1", Memory: 8 * document.GiB, KVCacheReserve: document.GiB, Fencing: document.FencingEnforced, TimeScale: 100,
		Resident: []standin.ResidentOption{{Model: "chat", Version: "v1", Memory: document.GiB}},
	}))
	pem, err := os.ReadFile(c.files.Authority)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(pem))
	c.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress(t)
	}
	for i := range n {
		c.startVM(t, i, peers)
	}
	c.apply(t)
	return c
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

func (c *testCluster) startVM(t *testing.T, i int, peers []string) {
	files := settings.Certificate(c.files)
	callers := freeAddress(t)
	s := &settings.Entry{
		VM: fmt.Sprintf("vm%d", i+1), Environment: "trial", FailureDomain: string(rune('a' + i%2)),
		Listen: settings.EntryListen{Callers: callers, Operators: "127.0.0.1:0", Peers: peers[i]},
		Peers:  peers,
		KV:     settings.KV{URLs: []string{c.kv.URL()}},
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
	c.vms, c.cancels, c.runErrors = append(c.vms, p), append(c.cancels, cancel), append(c.runErrors, ended)
	t.Cleanup(func() {
		cancel()
		<-ended
		ended <- nil
	})
}

func (c *testCluster) apply(t *testing.T) {
	_, operators := c.vms[0].Addresses()
	client := &operator.Client{Server: "https://" + operators, Key: operatorKey, HTTP: c.client}
	text := fmt.Sprintf(documentText, configstate.DigestKey(teamKey), c.engine.URL())
	answer, err := client.Apply(t.Context(), &operator.ApplyRequest{
		ChangeRequest: operator.ChangeRequest{ChangeID: "c1", Nonce: "n1"}, Document: text,
	})
	require.NoError(t, err)
	require.Equal(t, operator.OutcomeTookEffect, answer.Outcome)
	for i := range c.vms {
		require.Eventually(t, func() bool { return c.vms[i].Ready() == nil && c.complete(t, i) == http.StatusOK }, waitTimeout, pollInterval)
	}
}

// complete sends one completion to a VM and returns the status, or 0 if there was no
// response.
func (c *testCluster) complete(t *testing.T, vm int) int {
	callers, _ := c.vms[vm].Addresses()
	body := `{"model":"chat","prompt":"hello","max_tokens":4}`
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+callers+"/v1/completions", strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+teamKey)
	answer, err := c.client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	return answer.StatusCode
}

// advertisedURLs returns the entry URLs in a VM's address answer.
func (c *testCluster) advertisedURLs(t *testing.T, vm int) []string {
	callers, _ := c.vms[vm].Addresses()
	answer, err := c.client.Get("https://" + callers + "/v1/addresses")
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

// The networks between the processes can be read by others, hence TLS. With certificates
// on every hop the VMs must still discover each other and serve callers.
func TestServesOverTLSOnEveryHop(t *testing.T) {
	c := newTestCluster(t, 2)
	require.Eventually(t, func() bool { return len(c.advertisedURLs(t, 0)) == 2 }, waitTimeout, pollInterval)
	require.True(t, strings.HasPrefix(c.advertisedURLs(t, 0)[0], "https://127.0.0.1:"))
}

// A VM is stopped for an update. Its address must no longer be given to callers, and
// callers that hold it must be served until it has expired.
func TestStoppingVMLeavesTheAddressAnswersFirst(t *testing.T) {
	c := newTestCluster(t, 2)
	require.Eventually(t, func() bool { return len(c.advertisedURLs(t, 0)) == 2 }, waitTimeout, pollInterval)
	c.cancels[1]()
	require.Eventually(t, func() bool { return c.vms[1].leaving.Load() }, waitTimeout, pollInterval)
	require.Equal(t, http.StatusOK, c.complete(t, 1), "status of a completion at the leaving VM, whose address callers still hold")
	require.Eventually(t, func() bool { return len(c.advertisedURLs(t, 0)) == 1 }, waitTimeout, pollInterval)
	err := <-c.runErrors[1]
	c.runErrors[1] <- err
	require.NoError(t, err)
}

// Operators use traces to find the slow hop. A trace that ends at the entry VM does not
// show it.
func TestTraceHasASpanForEachHop(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans))
	before := otel.GetTracerProvider()
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	defer otel.SetTracerProvider(before)
	c := newTestCluster(t, 1)
	spans.Reset()
	require.Equal(t, http.StatusOK, c.complete(t, 0))
	require.Eventually(t, func() bool { return hasEngineSpan(spans.GetSpans()) }, waitTimeout, pollInterval)
}

// hasEngineSpan reports whether a trace has both a caller's span and a span of the
// request to the engine.
func hasEngineSpan(spans tracetest.SpanStubs) bool {
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
