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

// Process is one chestnut-entry process.
type Process struct {
	settings *settings.Entry
	log      zerolog.Logger
	metrics  metrics.Registry

	security       *process.Security
	listeners      *listeners
	store          *kv.HTTP
	config         *configsync.Syncer
	evidence       *configsync.Tally
	fleet          *fleet.Fleet
	peers          *peer.Pool
	peerServer     *peer.Server
	leases         *ratelimit.Leases
	enginePoller   *poller.Poller
	vmList         *vmlist.Poller
	addresses      *addresses
	plannerHTTP    *http.Client
	demandReporter *planner.Reporter
	engines        *engine.Client
	services       *service.Client
	traffic        *traffic
	handler        *caller.Handler
	leaving        atomic.Bool
	// incarnation increases with every start on this VM.
	incarnation uint64
}

// New builds the process and opens its listeners, so that an address in use is reported
// before anything has started.
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
	p.config = configsync.NewSyncer(configsync.Options{
		Store:           store,
		Environment:     p.settings.Environment,
		HasPeerMajority: func() bool { return p.fleet.HasPartnerMajority(time.Now()) },
		FleetSize:       func() int { return 1 + len(p.fleet.View().Members) },
		Watches:         p.keepsWatch,
		Log:             p.log,
		Metrics:         p.metrics,
	})
	p.evidence = configsync.NewTally(p.config)
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
	p.peers, p.peerServer = pool, server
	p.fleet = fleet.New(fleet.Options{
		Self: membership.Node{
			VM:            p.settings.VM,
			Incarnation:   p.incarnation,
			FailureDomain: p.settings.FailureDomain,
			CallerURL:     p.settings.Advertise.Callers,
			PeerAddress:   p.settings.Advertise.Peers,
		},
		Pool:        pool,
		Log:         p.log,
		Local:       p.localState,
		Seeds:       func() []string { return p.settings.Peers },
		UpdateSince: p.config.UpdateSince,
		ApplyUpdate: p.applyPeerUpdate,
	})
	server.RegisterMembership(p.fleet)
	p.buildLimiter()
	return nil
}

// buildLimiter creates the rate limiter, whose limits follow the teams of the
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
	p.peerServer.RegisterQuota(p.leases)
	p.config.OnChange(func(s *configstate.Snapshot) { p.leases.SetLimits(teamLimits(s)) })
}

func (p *Process) buildUpstreams() error {
	p.engines = engine.NewClient(engine.ClientOptions{TLS: process.ClientTLS(p.security.Upstreams)})
	p.services = service.NewClient(service.ClientOptions{TLS: process.ClientTLS(p.security.Upstreams)})
	client := &http.Client{Transport: transport.New(transport.Limits{}, transport.Pool{}, nil)}
	p.vmList = vmlist.NewPoller(&vmlist.Client{URL: p.settings.VMList.URL, HTTP: client}, p.settings.VMList.Interval, p.log)
	p.plannerHTTP = &http.Client{
		Transport: transport.New(transport.Limits{}, transport.Pool{}, process.ClientTLS(p.security.PeerReloader)),
		Timeout:   plannerTimeout,
	}
	p.demandReporter = planner.NewReporter(planner.ReporterOptions{
		VM: p.settings.VM, Environment: p.settings.Environment, Store: p.store, Client: p.plannerHTTP,
	})
	p.enginePoller = poller.New(poller.Options{Source: p.engines, Config: p.config.Snapshot, Leaving: p.vmList.Leaving})
	return nil
}

func (p *Process) buildCallers() error {
	p.addresses = newAddresses(p.settings.Limits.AddressLifetime, p.settings.Limits.MaxInFlight, len(p.settings.Peers) == 0, p.fleet.View, p.vmList.Leaving)
	p.handler = caller.NewHandler(caller.Options{
		Configuration:    p.config,
		Limiter:          p.leases,
		RecordCompletion: p.evidence.RecordRequest,
		RecordDemand:     p.demandReporter.Add,
		VM:               p.settings.VM,
		Models:           p.traffic.models,
		Pools:            p.traffic.pools,
		Relay:            p.traffic.relay,
		Ring:             p.traffic.ring,
		Releaser:         p.traffic.releaser,
		Claims:           p.traffic.claims,
		Addresses:        p.addresses,
		Readiness:        p,
		Leaving:          p.leaving.Load,
		Services:         p.services,
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

// localState returns the state that this VM reports in its heartbeats.
func (p *Process) localState() fleet.Local {
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

// Ready returns nil if this VM may accept new requests. Else it returns
// ErrNoConfiguration, ErrStale or ErrNoLimits.
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

// Run serves until ctx ends and then shuts down gracefully: the VM is removed from the
// address answers, waits until the answers that callers hold have expired, finishes
// the running requests, and only then stops the components that those depend on.
func (p *Process) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { return ignoreCanceled(p.config.Run(background)) })
	group.Go(func() error { return ignoreCanceled(p.fleet.Run(background)) })
	group.Go(func() error { return ignoreCanceled(p.enginePoller.Run(background)) })
	group.Go(func() error { return p.demandReporter.Run(background) })
	group.Go(func() error { return ignoreCanceled(p.leases.Run(background)) })
	if p.settings.VMList.URL != "" {
		group.Go(func() error { return ignoreCanceled(p.vmList.Run(background)) })
	}
	group.Go(func() error { return p.peerServer.Serve(background, p.listeners.peers, peerGrace) })
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

// plannerTimeout bounds a request to the leading planner.
const plannerTimeout = 3 * time.Second

// leavePropagation is how long other VMs may still return this VM's address after it has
// started to leave: three heartbeat periods, for a heartbeat that was just sent, one that
// is lost, and the next. If the VM did not wait for that, it would refuse callers that
// another VM has just referred to it.
const leavePropagation = 3 * fleet.DefaultPeriod

// peerGrace bounds the wait for running peer calls at shutdown.
const peerGrace = time.Second

// ignoreCanceled returns nil for context.Canceled, which is the regular end of a
// component.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drain removes the VM from the address answers and finishes the running requests. If it
// closed the listeners immediately, callers that still hold this VM's address would be
// refused, and running streams would be cut off.
func (p *Process) drain(background context.Context, servers []*server) {
	p.leaving.Store(true)
	p.leases.Leave()
	lifetime := p.addresses.book.MaxLifetime() + leavePropagation
	p.log.Info().Dur("wait_ms", lifetime).Msg("draining: waiting until the address answers with this VM have expired")
	select {
	case <-time.After(lifetime):
	case <-background.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(background), p.settings.Limits.DrainTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(ctx); err != nil {
			p.log.Warn().Err(err).Str("server", s.name).Msg("drain timeout exceeded: running requests cut off")
			s.http.Close()
		}
	}
	if err := p.traffic.flush(ctx); err != nil {
		p.log.Warn().Err(err).Msg("answers of keyed actions not stored before shutdown")
	}
	p.log.Info().Msg("drained")
}

func (p *Process) close() {
	p.peers.Close()
	p.engines.Close()
	p.services.Close()
}

// Addresses returns the listen addresses for callers and operators.
func (p *Process) Addresses() (callers, operators string) {
	return p.listeners.callers.Addr().String(), p.listeners.operators.Addr().String()
}
