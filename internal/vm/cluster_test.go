package vm

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
	"github.com/chestnutarch/chestnutarch/platform"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	testHost = "callers.example"
	testKey  = "key-of-writers"
	testWait = 15 * time.Second
)

// cluster is a set of VMs with stand-ins for the store and the replicas of the platform.
type cluster struct {
	t        *testing.T
	store    *standin.Store
	replicas map[string]*standin.Replica
	servers  map[string]*httptest.Server
	// domains holds the failure domains of the replicas that are not in domain "a".
	domains map[string]string
	vms     []*testVM
	version int
	ids     atomic.Int64
}

// testVM is one process with its own connection to the store.
type testVM struct {
	*Process
	// storeRefuses makes the store refuse the calls of this VM.
	storeRefuses atomic.Bool
	stop         func()
	// cancel begins to stop the VM.
	cancel func()
}

// newCluster starts the store and the replicas. The part of a replica's ID before the dash
// names its service.
func newCluster(t *testing.T, replicas ...*standin.Replica) *cluster {
	c := &cluster{t: t, store: standin.NewStore(), replicas: make(map[string]*standin.Replica), servers: make(map[string]*httptest.Server)}
	c.configure(nil)
	for _, r := range replicas {
		c.add(r)
	}
	return c
}

func (c *cluster) add(r *standin.Replica) {
	server := serve(c.t, r)
	c.replicas[r.ID], c.servers[r.ID] = r, server
	c.setReplicaState(r.ID, "ready")
}

func (c *cluster) setReplicaState(id, state string) { c.putReplica(id, state, "m0") }

func (c *cluster) setReplicaModels(id string, models ...string) { c.putReplica(id, "ready", models...) }

func (c *cluster) putReplica(id, state string, models ...string) {
	service, _, _ := strings.Cut(id, "-")
	domain := c.domains[id]
	if domain == "" {
		domain = "a"
	}
	held := []any{}
	for _, m := range models {
		held = append(held, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	c.store.Put("servers/"+id, map[string]any{
		"service": service, "address": c.servers[id].Listener.Addr().String(), "zone": domain, "slots": 8, "state": state, "cold-remaining-ms": 0,
		"sequence": 0, "born": c.replicas[id].Incarnation(), "version": c.replicas[id].SoftwareVersion(), "models": held,
	})
}

// configure writes a new version of the configuration, modified by edit.
func (c *cluster) configure(edit func(map[string]any)) {
	c.version++
	config := standin.Manifest{
		Version: c.version, Host: testHost, Models: []string{"m0", "m1", "m2"},
		Teams: []standin.Team{{Name: "writers", Keys: []string{testKey}, Rate: 1e6, Burst: 1e6}},
	}.Value()
	if edit != nil {
		edit(config)
	}
	c.store.Put("op/config", config)
}

// start starts a VM and waits until it is ready.
func (c *cluster) start(name string) *testVM { return c.startIn(name, "a") }

func (c *cluster) startIn(name, domain string) *testVM {
	return c.startAs(vmSpec{name: name, domain: domain})
}

// vmSpec describes a VM to start.
type vmSpec struct {
	name, domain string
	// link carries the store's answers to the VM; nil for plain loopback.
	link *link
	// store, unless nil, answers the VM's calls of the store in place of the next handler, which is the store.
	store func(next http.Handler) http.Handler
	// upstreams is the way to the upstreams; nil for plain loopback.
	upstreams *upstreamPath
	// regions holds the region of each failure domain.
	regions map[string]string
	// linkMbps is the bandwidth in the VM's settings, in Mbit/s.
	linkMbps float64
	// memoryMB is the VM's memory in its settings; zero means that they name none.
	memoryMB int
	// configurationDeadline is the time in which a configuration has to be in force; zero
	// means two seconds.
	configurationDeadline time.Duration
}

func (c *cluster) startAs(spec vmSpec) *testVM {
	v := &testVM{}
	calls := http.Handler(c.store)
	if spec.store != nil {
		calls = spec.store(calls)
	}
	store := serve(c.t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.storeRefuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		calls.ServeHTTP(w, r)
	}))
	storeAddress := store.Listener.Addr().String()
	if spec.link != nil {
		storeAddress = spec.link.proxy(storeAddress)
	}
	if spec.configurationDeadline == 0 {
		spec.configurationDeadline = 2 * time.Second
	}
	first := freePorts(c.t, 6)
	s := &platform.Settings{
		VM: spec.name, FailureDomain: spec.domain, LinkMbps: spec.linkMbps, MemoryMB: spec.memoryMB, IP: "127.0.0.1", FirstPort: first[0], LastPort: first[1],
		Callers: loopback(first[2]), Readiness: loopback(first[3]), Directory: loopback(first[4]), Domains: 1, Regions: spec.regions,
		Bounds: platform.Bounds{
			OrderLease: 500 * time.Millisecond, Configuration: spec.configurationDeadline, Grace: 1800 * time.Millisecond, Draining: 2 * time.Second,
			AddressLifetime: 5 * time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 20 * time.Millisecond,
			RateSlack: 100000, RateExcess: 0.1, RateWindow: 8 * time.Second,
		},
		Store: platform.StoreSettings{Address: storeAddress, LeaseMin: time.Second},
	}
	p, err := New(s, zerolog.New(zerolog.NewTestWriter(c.t)).Level(zerolog.Disabled))
	require.NoError(c.t, err)
	if spec.upstreams != nil {
		p.replicas.Pool.DialContext = spec.upstreams.dial
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended, failure := make(chan struct{}), error(nil)
	go func() {
		defer close(ended)
		if err := p.Run(ctx); ctx.Err() == nil {
			failure = err
		}
	}()
	v.Process, v.cancel = p, cancel
	v.stop = func() {
		cancel()
		<-ended
	}
	c.t.Cleanup(func() {
		// All VMs shut down at the same time, which takes most of a test with many of them.
		for _, other := range c.vms {
			other.cancel()
		}
		v.stop()
		assert.NoError(c.t, failure, "VM %s ended by itself", spec.name)
	})
	c.vms = append(c.vms, v)
	c.eventually(func() bool { return v.ready() || isClosed(ended) })
	require.False(c.t, isClosed(ended), "VM %s ended before it was ready", spec.name)
	return v
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// idle returns a process with the VM's settings that does not run.
func (v *testVM) idle(t *testing.T) *Process {
	p, err := New(v.settings, zerolog.Nop())
	require.NoError(t, err)
	return p
}

// ports allocates the ports of all clusters. A port is not reused, because the peers of a VM that has stopped, also those
// of another test process, dial its port until they forget it, and would reach whatever listens there.
var ports portblock.Ports

func freePorts(t *testing.T, n int) []int {
	out := make([]int, n)
	for i := range out {
		port, err := ports.Next()
		require.NoError(t, err)
		out[i] = port
	}
	return out
}

// serve starts a server that is closed when the test ends.
func serve(t *testing.T, handler http.Handler) *httptest.Server {
	server, err := ports.Serve(handler)
	require.NoError(t, err)
	t.Cleanup(server.Close)
	return server
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

func (c *cluster) eventually(condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, testWait, 5*time.Millisecond)
}

// waitLeader waits until a VM may send orders and has read an engine, and returns it.
func (c *cluster) waitLeader() *testVM {
	c.t.Helper()
	var leader *testVM
	c.eventually(func() bool {
		for _, v := range c.vms {
			if _, ok := v.candidate.Authority(); ok && len(v.planner.engines("engine")) > 0 {
				leader = v
				return true
			}
		}
		return false
	})
	return leader
}

// call is a caller's request.
type call struct {
	method, path, model, body string
	header                    map[string]string
}

type answer struct {
	status int
	header http.Header
	body   string
	// err is the caller's error if the answer breaks off.
	err error
}

func (c *cluster) send(v *testVM, q call) answer {
	c.t.Helper()
	r, err := http.NewRequest(q.method, "http://"+v.settings.Callers+q.path, strings.NewReader(q.body))
	require.NoError(c.t, err)
	r.Host = testHost
	r.Header.Set("X-Chestnutarch-Attempt-Id", fmt.Sprintf("id-%d", c.ids.Add(1)))
	r.Header.Set("X-Chestnutarch-Deadline-Remaining-Ms", "6000")
	r.Header.Set("Authorization", "Token "+testKey)
	if q.model != "" {
		r.Header.Set("X-Chestnutarch-Model", q.model)
		r.Header.Set("X-Chestnutarch-Token-Counts", "100,20")
		r.Header.Set("X-Chestnutarch-Prompt-Prefix", "aa:60,bb:40")
	}
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// sendUntilAccepted repeats a request until the answer has no Retry-After header, waiting as long as
// the header says.
func (c *cluster) sendUntilAccepted(v *testVM, q call) answer {
	c.t.Helper()
	var got answer
	c.eventually(func() bool {
		got = c.send(v, q)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil {
			return true
		}
		time.Sleep(time.Duration(wait * float64(time.Second)))
		return false
	})
	return got
}

func sseBody(ids ...int) string {
	var out strings.Builder
	for _, i := range ids {
		fmt.Fprintf(&out, "id: %d\ndata: word%d\n\n", i, i)
	}
	return out.String()
}
