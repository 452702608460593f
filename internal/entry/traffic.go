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

// poolMaxInFlight bounds the requests of this VM at one replica of a plain service.
const poolMaxInFlight = 64

// flushTimeout bounds the wait for answers of actions that are being stored when
// the process stops.
const flushTimeout = 10 * time.Second

// traffic is what stands between callers and upstreams.
type traffic struct {
	models *dispatch.Dispatcher
	pools  *dispatch.Dispatcher
	relay  *relay.Relay
	ring   *resume.Ring
	claims *claims.Claims
	// release tells other VMs of streams that are read here.
	release relay.Releaser
}

// buildTraffic makes the queues, the relay and the claims.
func (p *Process) buildTraffic() error {
	ring, err := p.resumeRing()
	if err != nil {
		return err
	}
	address := func(vm string) string {
		m, _ := p.fleet.View().Lookup(vm)
		return m.PeerAddress
	}
	asker := claims.PeerAsker{Pool: p.peers, Address: address}
	pools := &poolFleet{config: p.config.Snapshot, leaving: p.vms.Leaving}
	t := &traffic{
		ring:  ring,
		relay: relay.New(relay.Options{Engines: p.engines}),
		models: dispatch.New(dispatch.Options{
			Fleet: p.poller.Fleet, Teams: p.teams, Seed: seed(),
			Peers:    func() dispatch.Peers { return peersOf(p.fleet.View()) },
			Borrower: dispatch.PeerBorrower{Pool: p.peers, Address: p.addressAt},
		}),
		pools: dispatch.New(dispatch.Options{
			Route: route.Options{MaxInFlight: poolMaxInFlight},
			Fleet: pools.fleet, Teams: p.teams, Seed: seed(),
		}),
		claims: claims.New(claims.Options{
			Store: p.store, Environment: p.settings.Environment, VM: p.settings.VM,
			Asker: asker, Forwarder: asker, Preferred: p.preferred,
		}),
		release: relay.Releaser{Pool: p.peers, Address: address, For: relay.DefaultGrace},
	}
	t.models.Register(p.peerCalls.Registrar())
	t.claims.Register(p.peerCalls.Registrar())
	t.relay.Register(p.peerCalls.Registrar())
	p.traffic = t
	t.measure(p.metrics)
	return nil
}

// measure registers what the queues hold and refuse.
func (t *traffic) measure(r metrics.Registry) {
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

// run starts the goroutines that own the queues and the claims.
func (t *traffic) run(ctx context.Context, group *errgroup.Group) {
	for _, owner := range []func(context.Context) error{t.models.Run, t.pools.Run, t.claims.Run} {
		group.Go(func() error { return ignoreStop(owner(ctx)) })
	}
}

// flush waits until the answers of actions are stored.
func (t *traffic) flush(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	return t.claims.Flush(ctx)
}

// resumeRing makes the secrets that sign resume tokens. Without any in the
// settings a stream can be resumed at this VM only, and not after a restart.
func (p *Process) resumeRing() (*resume.Ring, error) {
	var secrets [][]byte
	for _, s := range p.settings.ResumeSecrets {
		secrets = append(secrets, []byte(s))
	}
	if len(secrets) == 0 {
		p.log.Warn().Msg("no resume_secrets in the settings: streams can be resumed at this VM only")
		own := make([]byte, resume.MinSecretBytes)
		// crypto/rand never returns an error.
		_, _ = rand.Read(own)
		secrets = append(secrets, own)
	}
	return resume.NewRing(secrets...)
}

// seed starts the random draws of a decision.
func seed() uint64 {
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

// peersOf sums up what the heartbeats tell of the other VMs.
func peersOf(v *membership.View) dispatch.Peers {
	peers := dispatch.Peers{VMs: 1, Served: make(map[string]int64)}
	for _, m := range v.Members {
		if m.Status != membership.Heard {
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

// preferred returns the VM that should write a shard of claims.
func (p *Process) preferred(shard int) string {
	view := p.fleet.View()
	vms := []string{view.Self.VM}
	for _, m := range view.Members {
		if m.Status == membership.Heard && !m.Leaving {
			vms = append(vms, m.VM)
		}
	}
	return claim.Preferred(shard, vms)
}

// addressAt returns the address for peers of the VM at a place in the order of the
// names of the VMs that are heard, or "" for this VM.
func (p *Process) addressAt(rank int) string {
	view := p.fleet.View()
	own := peersOf(view).Rank
	if rank == own {
		return ""
	}
	if rank > own {
		rank--
	}
	for _, m := range view.Members {
		if m.Status != membership.Heard {
			continue
		}
		if rank == 0 {
			return m.PeerAddress
		}
		rank--
	}
	return ""
}

// poolFleet makes the fleet of plain services, anew when the configuration or the
// list of leaving VMs has changed.
type poolFleet struct {
	config  func() *configstate.Snapshot
	leaving func(address string) bool
	made    atomic.Pointer[madeFleet]
}

type madeFleet struct {
	from  *configstate.Snapshot
	at    time.Time
	fleet *route.Fleet
}

// poolRefresh is how often the list of leaving VMs is looked at.
const poolRefresh = 500 * time.Millisecond

func (f *poolFleet) fleet() *route.Fleet {
	config := f.config()
	made := f.made.Load()
	if made != nil && made.from == config && time.Since(made.at) < poolRefresh {
		return made.fleet
	}
	made = &madeFleet{from: config, at: time.Now(), fleet: &route.Fleet{}}
	if config != nil {
		made.fleet = route.PoolFleet(config.Document.Services, f.leaving)
	}
	f.made.Store(made)
	return made.fleet
}
