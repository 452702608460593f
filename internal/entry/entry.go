package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/caller"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/engine/poller"
	"github.com/chestnutarch/chestnutarch/internal/fleet"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/planner"
	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
	"github.com/chestnutarch/chestnutarch/internal/service"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/transport"
	"github.com/chestnutarch/chestnutarch/internal/vmlist"
)

// Process is one chestnut-entry.
type Process struct {
	settings *settings.Entry
	log      zerolog.Logger
	metrics  metrics.Registry

	security    *process.Security
	listeners   *listeners
	store       *kv.HTTP
	config      *configsync.Keeper
	tally       *configsync.Tally
	fleet       *fleet.Fleet
	peers       *peer.Pool
	peerCalls   *peer.Server
	leases      *ratelimit.Leases
	poller      *poller.Poller
	vms         *vmlist.Poller
	addresses   *addresses
	plannerHTTP *http.Client
	demand      *planner.Reporter
	engines     *engine.Client
	services    *service.Client
	traffic     *traffic
	handler     *caller.Handler
	leaving     atomic.Bool
	// incarnation grows with every start on this VM.
	incarnation uint64
}

// New builds the process and opens its listeners, so that an address that is
// taken is reported before anything has started.
func New(ctx context.Context, s *settings.Entry, log zerolog.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, metrics: metrics.NewRegistry(), incarnation: uint64(time.Now().UnixNano())}
	steps := []func() error{p.buildSecurity, p.buildStore, p.buildPeers, p.buildUpstreams, p.buildTraffic, p.buildCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	opened, err := openListeners(ctx, s, p.security)
	if err != nil {
		return nil, err
	}
	p.listeners = opened
	return p, nil
}

func (p *Process) buildSecurity() error {
	loaded, err := process.NewSecurity(p.settings.TLS)
	p.security = loaded
	return err
}

func (p *Process) buildStore() error {
	store, err := p.security.NewStore(p.settings.KV, kv.Options{Metrics: p.metrics})
	if err != nil {
		return err
	}
	p.store = store
	p.config = configsync.NewKeeper(configsync.Options{
		Store:       store,
		Environment: p.settings.Environment,
		HearsPeers:  func() bool { return p.fleet.HearsMajority(time.Now()) },
		FleetSize:   func() int { return 1 + len(p.fleet.View().Members) },
		Watches:     p.watches,
		Log:         p.log,
		Metrics:     p.metrics,
	})
	p.tally = configsync.NewTally(p.config)
	return nil
}

func (p *Process) buildPeers() error {
	pool, err := peer.NewPool(p.security.Peers)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(p.security.Peers)
	if err != nil {
		return err
	}
	p.peers, p.peerCalls = pool, server
	p.fleet = fleet.New(fleet.Options{
		Self: membership.Node{
			VM:            p.settings.VM,
			Incarnation:   p.incarnation,
			FailureDomain: p.settings.FailureDomain,
			CallerURL:     p.settings.Advertise.Callers,
			PeerAddress:   p.settings.Advertise.Peers,
		},
		Pool:   pool,
		Log:    p.log,
		Local:  p.local,
		Seeds:  func() []string { return p.settings.Peers },
		Update: p.config.UpdateSince,
		Offer:  p.offer,
	})
	server.RegisterMembership(p.fleet)
	p.buildLimiter()
	return nil
}

// buildLimiter makes the quota leases, which follow the teams of the
// configuration in force.
func (p *Process) buildLimiter() {
	p.leases = ratelimit.NewLeases(ratelimit.Options{
		Config: quota.Config{
			Prefix:        fmt.Sprintf("/chestnut/%s/quota/", p.settings.Environment),
			Self:          quota.Holder{VM: p.settings.VM, Incarnation: p.incarnation},
			Address:       p.settings.Advertise.Peers,
			FailureDomain: p.settings.FailureDomain,
		},
		Store:   p.store,
		Pool:    p.peers,
		View:    p.fleet.View,
		Log:     p.log,
		Metrics: p.metrics,
	})
	p.peerCalls.RegisterQuota(p.leases)
	p.config.OnChange(func(s *configstate.Snapshot) { p.leases.SetLimits(limitsOf(s)) })
}

func (p *Process) buildUpstreams() error {
	p.engines = engine.NewClient(engine.ClientOptions{TLS: process.ClientTLS(p.security.Upstreams)})
	p.services = service.NewClient(service.ClientOptions{TLS: process.ClientTLS(p.security.Upstreams)})
	client := &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, nil)}
	p.vms = vmlist.NewPoller(&vmlist.Client{URL: p.settings.VMList.URL, HTTP: client}, p.settings.VMList.Interval, p.log)
	p.plannerHTTP = &http.Client{
		Transport: transport.New(transport.Limits{}, transport.Pool{}, process.ClientTLS(p.security.PeerFiles)),
		Timeout:   plannerTimeout,
	}
	p.demand = planner.NewReporter(planner.ReporterOptions{
		VM: p.settings.VM, Environment: p.settings.Environment, Store: p.store, Client: p.plannerHTTP,
	})
	p.poller = poller.New(poller.Options{Source: p.engines, Config: p.config.Snapshot, Leaving: p.vms.Leaving})
	return nil
}

func (p *Process) buildCallers() error {
	p.addresses = newAddresses(p.settings.Limits.AddressLifetime, p.settings.Limits.MaxInFlight, len(p.settings.Peers) == 0, p.fleet.View, p.vms.Leaving)
	p.handler = caller.NewHandler(caller.Options{
		Configuration: p.config,
		Limiter:       p.leases,
		Judged:        p.tally.Request,
		Offered:       p.demand.Add,
		VM:            p.settings.VM,
		Models:        p.traffic.models,
		Pools:         p.traffic.pools,
		Relay:         p.traffic.relay,
		Ring:          p.traffic.ring,
		Releaser:      p.traffic.release,
		Claims:        p.traffic.claims,
		Addresses:     p.addresses,
		Readiness:     p,
		Leaving:       p.leaving.Load,
		Services:      p.services,
		Limits: caller.Limits{
			MaxBodyBytes:   p.settings.Limits.MaxBodyBytes,
			MaxInFlight:    p.settings.Limits.MaxInFlight,
			RequestTimeout: p.settings.Limits.RequestTimeout,
		},
		Log:     p.log,
		Metrics: p.metrics,
	})
	return nil
}

// local is what this VM tells others of itself.
func (p *Process) local() fleet.Local {
	local := fleet.Local{
		Leaving:          p.leaving.Load(),
		Ready:            p.Ready() == nil,
		InFlight:         int64(p.handler.InFlight()),
		QuotaIncarnation: p.leases.Incarnation(),
		ServedTokens:     p.traffic.models.Stats().Served,
	}
	if s := p.config.Snapshot(); s != nil {
		local.ConfigVersion = s.Version
		local.Withdrawn = int64(s.Withdrawn())
		local.WithdrawnSum = s.WithdrawnSum()
	}
	return local
}

// Ready returns nil if this VM may take new work.
func (p *Process) Ready() error {
	if p.config.Snapshot() == nil {
		return ErrNoConfiguration
	}
	if !p.config.Fresh() {
		return ErrStale
	}
	if !p.leases.CanAdmit() {
		return ErrNoLimits
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully: the VM leaves the address
// answers, waits until callers' answers have run out, finishes what runs, and
// only then stops the parts that running requests depend on.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return ignoreStop(p.config.Run(background)) })
	group.Go(func() error { return ignoreStop(p.fleet.Run(background)) })
	group.Go(func() error { return ignoreStop(p.poller.Run(background)) })
	group.Go(func() error { return p.demand.Run(background) })
	group.Go(func() error { return ignoreStop(p.leases.Run(background)) })
	if p.settings.VMList.URL != "" {
		group.Go(func() error { return ignoreStop(p.vms.Run(background)) })
	}
	group.Go(func() error { return p.peerCalls.Serve(background, p.listeners.peers, peerGrace) })
	p.traffic.run(background, group)
	servers := p.servers()
	for _, s := range servers {
		group.Go(s.serve)
	}
	p.log.Info().Str("callers", p.listeners.callers.Addr().String()).Msg("serving")

	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	p.drain(background, servers)
	stopBackground()
	err := group.Wait()
	p.close()
	return err
}

// plannerTimeout bounds a question to the leading planner.
const plannerTimeout = 3 * time.Second

// leaveSpread is how long other VMs may go on naming this one after it has said
// that it leaves: a heartbeat that was just sent, one that is lost, and the
// next. A VM that did not wait for them would refuse callers that another VM
// has sent a moment ago.
const leaveSpread = 3 * fleet.DefaultPeriod

// peerGrace bounds the wait for running calls of peers at the end.
const peerGrace = time.Second

func ignoreStop(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain takes the VM out of the address answers and finishes what runs. If it
// closed the listeners at once, callers that still hold this VM's address
// would be refused, and streams that run would be cut.
func (p *Process) drain(background context.Context, servers []*server) {
	p.leaving.Store(true)
	p.leases.Leave()
	lifetime := p.addresses.book.MaxLifetime() + leaveSpread
	p.log.Info().Dur("wait_ms", lifetime).Msg("leaving the address answers")
	select {
	case <-time.After(lifetime):
	case <-background.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(background), p.settings.Limits.DrainTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			p.log.Warn().Err(err).Str("server", s.name).Msg("requests were cut at the drain timeout")
			s.http.Close()
		}
	}
	if err := p.traffic.flush(ctx); err != nil {
		p.log.Warn().Err(err).Msg("answers of actions were not stored")
	}
	p.log.Info().Msg("drained")
}

func (p *Process) close() {
	p.peers.Close()
	p.engines.Close()
	p.services.Close()
}

// Addresses returns where the process listens, for callers and operators.
func (p *Process) Addresses() (callers, operators string) {
	return p.listeners.callers.Addr().String(), p.listeners.operators.Addr().String()
}
