package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/portblock"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	host = "callers.example"
	// boundMs is the time within which a configuration has to be in force and within which an upstream
	// that leaves may still get requests. leaseMs and quotaSlack are further limits that the platform sets.
	boundMs = 2000
	// evacuationMs is the time within which an evacuated zone gets no more requests.
	evacuationMs = 3000
	// coldStart is how long an engine is cold after a restart, coldPerSecond the number of
	// requests per second that it bears meanwhile.
	coldStart     = 2 * time.Second
	coldPerSecond = 6.5
	leaseMs       = 1000
	quotaSlack    = 20_000
	// smallRate and smallBurst are the limits of the team "small", which exceeds its rate, in
	// tokens a second and in tokens.
	smallRate  = 2_000.0
	smallBurst = 2_000.0
)

// world is the environment of one run: the VMs under test, the store, the replicas, the
// configuration and the oracle.
type world struct {
	t            *testing.T
	dir          string
	store        *standin.Store
	storeAddress string
	vms          []*vm
	upstreams    []*upstream
	oracle       *oracle
	// evacuations is set if zones are evacuated and engines are cold after a restart.
	evacuations bool
	// rateLimits is set if upstreams name rate limits.
	rateLimits bool
	// pushback is set if upstreams leave by their answers alone, and shed load.
	pushback bool
	// departures is set if upstreams leave by the store for longer than requests may reach them.
	departures bool
	// versions is set if engines of several software versions serve side by side.
	versions *versions
	// brittle is set if instances of the plain service become brittle.
	brittle bool
	// restores is set if the store comes back from copies. firstCopy is one of before the VMs started.
	restores  bool
	firstCopy *standin.StoreCopy
	// endless is set if upstreams send bytes without end.
	endless bool
	// answers is set if upstreams send answers a second time, and statuses that promise after runs.
	answers bool
	// stalls is set if all VMs stand still at the same time, from time to time.
	stalls bool
	// boundMs is the value of the bounds config-ms and drain-ms.
	boundMs int

	// storeMu guards storeDisturbances, the times at which faults of the whole store began or ended.
	storeMu           sync.Mutex
	storeDisturbances []time.Time

	mu       sync.Mutex
	manifest standin.Manifest
	// rate limits each connection to the store and between VMs, in bytes a second. Zero means
	// no limit.
	rate int
	// lastNotReady is the last result of allReady or allListed, with the VM's name.
	lastNotReady string
}

// upstream is one replica of an upstream, with its proxy.
type upstream struct {
	*standin.Replica
	service, zone string
	server        *httptest.Server
	proxy         *proxy
	mu            sync.Mutex
	// state is "ready", "draining", or "" if the replica has no entry in the store.
	state string
	// departures are its departures by the store that last for longer than requests may reach it.
	departures []departure
}

// narrowLinkRate is the rate of a narrow link in bytes a second. It is an eighth of a link of 10
// Mbit/s, so that a configuration of an eighth of the largest size behaves like the largest one on
// such a link.
const narrowLinkRate = 10_000_000 / 8 / 8

// newWorld starts the world of a run. Additional routes make the configuration large, and then the links to
// the store and between VMs are narrow. With evacuations a third of the upstreams is in evacuatedZone.
func newWorld(t *testing.T, o run, seed uint64) *world {
	w := &world{t: t, dir: logDirectory(t), store: standin.NewStore(), oracle: newOracle(), evacuations: o.evacuations, rateLimits: o.rateLimits, pushback: o.pushback, departures: o.departures, brittle: o.brittle, restores: o.restores, endless: o.endless, answers: o.answers, stalls: o.stalls, boundMs: boundMs}
	if o.versions {
		w.versions = newVersions(seed)
	}
	if o.departures && o.vms > hubFleetVMs {
		w.boundMs = hubBoundMs
	}
	if o.routes > 0 {
		w.rate = narrowLinkRate
	}
	w.manifest = standin.Manifest{
		Version: 1, Host: host, Models: []string{"m0", "m1", "m2", "m3"},
		Teams: []standin.Team{
			{Name: "large", Keys: []string{"large-key", "large-second"}, Rate: 1e6, Burst: 1e6},
			{Name: "small", Keys: []string{"small-key"}, Rate: smallRate, Burst: smallBurst},
		},
	}
	if o.evacuations {
		w.manifest.ColdStartS, w.manifest.ColdPerS = coldStart.Seconds(), coldPerSecond
	}
	for i := range o.routes {
		w.manifest.Extra = append(w.manifest.Extra, fmt.Sprintf("unused-%d", i))
	}
	w.store.Put("op/config", w.manifest.Value())
	server := serve(t, w.store)
	t.Cleanup(func() {
		w.store.Override(nil)
		server.CloseClientConnections()
		server.Close()
	})
	w.storeAddress = server.Listener.Addr().String()
	for i := range max(o.engines, defaultEngines) {
		zone := "a"
		if o.evacuations && i == 2 {
			zone = evacuatedZone
		}
		engine := w.addUpstream("engine", zone, fmt.Sprintf("engine-%d", i), "m0", "m1")
		if w.versions != nil {
			w.versions.prepare(engine.Replica, i)
			w.writeEntry(engine)
		}
		clerk := w.addUpstream("clerk", zone, fmt.Sprintf("clerk-%d", i))
		if w.brittle {
			clerk.ServiceTime = brittleServiceTime
			clerk.SetRoom(brittleSlots, brittleWaiting)
		}
	}
	w.store.Rewrite(w.publishPeerProxies)
	for i := range o.vms {
		w.addVM(i, fmt.Sprintf("vm-%d", i), []string{"a", "b"}[i%2])
	}
	// All VMs are added before one starts: the store calls publishPeerProxies, which reads the
	// list of VMs, as soon as the first one registers.
	t.Cleanup(w.stopVMs)
	w.firstCopy = w.store.Copy()
	for _, v := range w.vms {
		require.NoError(t, v.supervise())
	}
	return w
}

// stopVMs stops all VMs at once: each takes some seconds.
func (w *world) stopVMs() {
	var all sync.WaitGroup
	for _, v := range w.vms {
		all.Go(v.stop)
	}
	all.Wait()
}

func (w *world) addUpstream(service, zone, id string, models ...string) *upstream {
	r := standin.NewReplica(id, 2, models...)
	r.NameAttempt, r.ServiceTime, r.Born = true, 5*time.Millisecond, time.Now().UnixMilli()
	r.SetLoadTime(200 * time.Millisecond)
	u := &upstream{Replica: r, service: service, zone: zone, server: serve(w.t, r), state: "ready"}
	replicaProxy, err := newProxy(u.server.Listener.Addr().String())
	require.NoError(w.t, err)
	u.proxy = replicaProxy
	w.upstreams = append(w.upstreams, u)
	w.t.Cleanup(func() {
		u.proxy.close()
		u.server.CloseClientConnections()
		u.server.Close()
	})
	w.writeEntry(u)
	return u
}

// writeEntry writes the current entry of a replica to the store, or deletes it.
func (w *world) writeEntry(u *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		w.store.Delete("servers/" + u.ID)
		return
	}
	w.store.Put("servers/"+u.ID, u.Entry(u.service, u.proxy.address(), u.zone, u.state))
}

func (w *world) setState(u *upstream, state string) {
	u.mu.Lock()
	u.state = state
	u.mu.Unlock()
	w.writeEntry(u)
}

func (w *world) addVM(firstBuild int, name, zone string) {
	vmPorts := freePorts(w.t, 5)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", vmPorts[i]) }
	v := &vm{builds: builds, starts: firstBuild, dir: w.dir, VM: standin.VM{
		Name: name, Zone: zone, IP: "127.0.0.1", FirstPort: min(vmPorts[0], vmPorts[1]), LastPort: max(vmPorts[0], vmPorts[1]),
		Callers: at(2), Readiness: at(3), Directory: at(4),
		ConfigMs: w.boundMs, DrainMs: w.boundMs, EvacuationMs: evacuationMs, LeaseMs: leaseMs, GraceS: int(gracePeriod.Seconds()), QuotaSlack: quotaSlack,
	}}
	for _, link := range []struct {
		proxy  **proxy
		target string
	}{{&v.callersProxy, v.Callers}, {&v.peersProxy, fmt.Sprintf("127.0.0.1:%d", v.FirstPort)}, {&v.storeProxy, w.storeAddress}} {
		p, err := newProxy(link.target)
		require.NoError(w.t, err)
		*link.proxy = p
	}
	for _, p := range []*proxy{v.peersProxy, v.storeProxy} {
		p.update(func() { p.rate = w.rate })
	}
	v.Store = v.storeProxy.address()
	w.vms = append(w.vms, v)
}

// publishPeerProxies makes VMs reach each other through proxies: it replaces the VM's address in a
// registration by that of the VM's proxy for peers.
func (w *world) publishPeerProxies(key string, value []byte) []byte {
	name, ok := strings.CutPrefix(key, "chestnutarch/vms/")
	if !ok {
		return value
	}
	var registration map[string]json.RawMessage
	if json.Unmarshal(value, &registration) != nil {
		return value
	}
	for _, v := range w.vms {
		if v.Name == name {
			registration["peers"] = json.RawMessage(strconv.Quote(v.peersProxy.address()))
		}
	}
	changed, err := json.Marshal(registration)
	if err != nil {
		return value
	}
	return changed
}

// ports allocates the ports of all worlds.
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

// serve starts a server, which the caller has to close. Its port is not reused: VMs go on dialing the ports of processes
// that are gone, and would reach whatever listens there.
func serve(t *testing.T, handler http.Handler) *httptest.Server {
	server, err := ports.Serve(handler)
	require.NoError(t, err)
	return server
}

// configure changes the configuration, writes it to the store and returns its version.
func (w *world) configure(change func(m *standin.Manifest)) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.manifest.Version += 1 + len(w.manifest.Extra)%3
	change(&w.manifest)
	w.store.Put("op/config", w.manifest.Value())
	return w.manifest.Version
}

// refreshEntries rewrites the entries of the replicas every 500 ms until stop is closed, because
// orders change which models the replicas hold.
func (w *world) refreshEntries(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		for _, u := range w.upstreams {
			u.mu.Lock()
			listed := u.state != ""
			u.mu.Unlock()
			if listed {
				w.writeEntry(u)
			}
		}
	}
}

// disturbStore records that a fault of the whole store begins or ends now.
func (w *world) disturbStore() {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	w.storeDisturbances = append(w.storeDisturbances, time.Now())
}

// storeDisturbedBetween reports whether a fault of the whole store began or ended within a time.
func (w *world) storeDisturbedBetween(from, to time.Time) bool {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	return anyBetween(w.storeDisturbances, from, to)
}

// heal ends all faults that are still active.
func (w *world) heal() {
	if w.versions != nil {
		w.versions.cutting.Store(false)
	}
	w.store.Override(nil)
	w.store.DropCommitAnswers(false)
	for _, v := range w.vms {
		for _, p := range []*proxy{v.callersProxy, v.peersProxy, v.storeProxy} {
			p.heal()
			p.reset()
		}
	}
	for _, u := range w.upstreams {
		u.proxy.heal()
		u.proxy.reset()
		u.SetFail(nil)
		u.SetReject(nil)
	}
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// newClient returns a client that reuses connections as a caller does, and that does not resend
// requests by itself.
func newClient() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}
