package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/claims"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/dispatch"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// poolMaxInFlight bounds the requests in flight from this VM to one replica of a plain
// service.
const poolMaxInFlight = 64

// flushTimeout bounds the wait at shutdown for answers of keyed actions that are being
// stored.
const flushTimeout = 10 * time.Second

// traffic holds the components between callers and upstreams.
type traffic struct {
	models *dispatch.Dispatcher
	pools  *dispatch.Dispatcher
	relay  *relay.Relay
	ring   *resume.Keyring
	claims *claims.Claims
	// releaser notifies other VMs of streams that are read at this VM.
	releaser relay.Releaser
}

// buildTraffic creates the dispatchers, the relay and the claims.
func (p *Process) buildTraffic() error {
	ring, err := p.resumeRing()
	if err != nil {
		return err
	}
	address := func(vm string) string {
		m, _ := p.fleet.View().Lookup(vm)
		return m.PeerAddress
	}
	asker := claims.PeerClient{Pool: p.peers, Address: address}
	pools := &poolFleet{config: p.config.Snapshot, leaving: p.vmList.Leaving}
	t := &traffic{
		ring:  ring,
		relay: relay.New(relay.Options{Engines: p.engines}),
		models: dispatch.New(dispatch.Options{
			Fleet: p.enginePoller.Fleet, Teams: p.teams, Seed: randomSeed(),
			Peers:    func() dispatch.Peers { return summarizePeers(p.fleet.View()) },
			Borrower: dispatch.PeerBorrower{Pool: p.peers, Address: p.peerAddressByRank},
		}),
		pools: dispatch.New(dispatch.Options{
			Route: route.Options{MaxInFlight: poolMaxInFlight},
			Fleet: pools.fleet, Teams: p.teams, Seed: randomSeed(),
		}),
		claims: claims.New(claims.Options{
			Store: p.store, Environment: p.settings.Environment, VM: p.settings.VM,
			Querier: asker, Forwarder: asker, Preferred: p.preferredClaimWriter,
		}),
		releaser: relay.Releaser{Pool: p.peers, Address: address, RetryTimeout: relay.DefaultGrace},
	}
	t.models.Register(p.peerServer.Registrar())
	t.claims.Register(p.peerServer.Registrar())
	t.relay.Register(p.peerServer.Registrar())
	p.traffic = t
	t.registerGauges(p.metrics)
	return nil
}

// registerGauges registers gauges for the queued, in-flight and refused requests of the
// dispatchers.
func (t *traffic) registerGauges(r metrics.Registry) {
	for name, d := range map[string]*dispatch.Dispatcher{"models": t.models, "pools": t.pools} {
		gauges := map[string]func() int64{
			"queued":    func() int64 { return int64(d.Stats().Waiting()) },
			"in_flight": func() int64 { return int64(d.Stats().InFlight) },
		}
		for _, cause := range dispatch.Causes {
			gauges["refused."+cause] = func() int64 { return d.Stats().Refused[cause] }
		}
		for what, read := range gauges {
			metrics.NewRegisteredFunctionalGauge("dispatch."+name+"."+what, r, read)
		}
	}
}

// run starts the goroutines of the dispatchers and the claims.
func (t *traffic) run(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context) error{t.models.Run, t.pools.Run, t.claims.Run} {
		group.Go(func() error { return ignoreCanceled(run(ctx)) })
	}
}

// flush waits until the answers of keyed actions are stored, for at most flushTimeout.
func (t *traffic) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	return t.claims.Flush(ctx)
}

// resumeRing creates the key ring that signs resume tokens. Without secrets in the
// settings it generates one, and streams can be resumed only at this VM and not after a
// restart.
func (p *Process) resumeRing() (*resume.Keyring, error) {
	var secrets [][]byte
	for _, s := range p.settings.ResumeSecrets {
		secrets = append(secrets, []byte(s))
	}
	if len(secrets) == 0 {
		p.log.Warn().Msg("no resume_secrets in the settings: streams can be resumed only at this VM and not after a restart")
		secret := make([]byte, resume.MinSecretBytes)
		// crypto/rand never returns an error.
		_, _ = rand.Read(secret)
		secrets = append(secrets, secret)
	}
	return resume.NewKeyring(secrets...)
}

// randomSeed returns a random seed for a dispatcher.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

func (p *Process) teams() []document.Team {
	s := p.config.Snapshot()
	if s == nil {
		return nil
	}
	return s.Document.Teams
}

// summarizePeers summarizes the heartbeats of the other VMs that are alive.
func summarizePeers(v *membership.View) dispatch.Peers {
	peers := dispatch.Peers{VMs: 1, Served: make(map[string]int64)}
	for _, m := range v.Members {
		if m.Status != membership.Alive {
			continue
		}
		peers.VMs++
		if m.VM < v.Self.VM {
			peers.Rank++
		}
		peers.InFlight += int(m.InFlight)
		for team, n := range m.ServedTokens {
			peers.Served[team] += n
		}
	}
	return peers
}

// preferredClaimWriter returns the VM that should write a shard of claims.
func (p *Process) preferredClaimWriter(shard int) string {
	view := p.fleet.View()
	vms := []string{view.Self.VM}
	for _, m := range view.Members {
		if m.Status == membership.Alive && !m.Leaving {
			vms = append(vms, m.VM)
		}
	}
	return claim.Preferred(shard, vms)
}

// peerAddressByRank returns the peer address of the VM with a rank, from 0, in the name
// order of the VMs that are alive. It returns "" for this VM and for an unknown rank.
func (p *Process) peerAddressByRank(rank int) string {
	view := p.fleet.View()
	ownRank := summarizePeers(view).Rank
	if rank == ownRank {
		return ""
	}
	if rank > ownRank {
		rank--
	}
	for _, m := range view.Members {
		if m.Status != membership.Alive {
			continue
		}
		if rank == 0 {
			return m.PeerAddress
		}
		rank--
	}
	return ""
}

// poolFleet builds the fleet of plain services and caches it. It is rebuilt when the
// configuration has changed, and every poolRefreshInterval for the list of leaving VMs.
type poolFleet struct {
	config  func() *configstate.Snapshot
	leaving func(address string) bool
	cached  atomic.Pointer[cachedFleet]
}

type cachedFleet struct {
	config  *configstate.Snapshot
	builtAt time.Time
	fleet   *route.Fleet
}

// poolRefreshInterval is how often the list of leaving VMs is read.
const poolRefreshInterval = 500 * time.Millisecond

func (f *poolFleet) fleet() *route.Fleet {
	config := f.config()
	cached := f.cached.Load()
	if cached != nil && cached.config == config && time.Since(cached.builtAt) < poolRefreshInterval {
		return cached.fleet
	}
	cached = &cachedFleet{config: config, builtAt: time.Now(), fleet: &route.Fleet{}}
	if config != nil {
		cached.fleet = route.PoolFleet(config.Document.Services, f.leaving)
	}
	f.cached.Store(cached)
	return cached.fleet
}
