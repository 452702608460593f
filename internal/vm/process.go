package vm

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/leadership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/retrybudget"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/internal/transport"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// ownPrefix is the prefix of this project's keys in the store.
const ownPrefix = "chestnutarch/"

// Process is one VM's process.
type Process struct {
	settings *platform.Settings
	log      zerolog.Logger
	metrics  metrics.Registry

	store      store.Store
	replicas   *platform.Replicas
	tracker    *tracker
	assigner   *assign.Assigner
	limiter    *teamrate.Limiter
	budget     *retrybudget.Budget
	core       *traffic.Core
	ingress    *platform.Ingress
	candidate  *leadership.Candidate
	fleet      *fleet
	planner    *planner
	pool       *peer.Pool
	peerServer *peer.Server

	instances atomic.Pointer[map[string]*upstream.Instance]
	entries   *instanceEntries
	// ownKeys is how many keys of this project the last view had, ownNewest the newest
	// revision of them.
	ownKeys   int
	ownNewest int64
	leaving   atomic.Bool
	// viewed says that a view of the store was taken in, so that upstreams are known.
	viewed atomic.Bool
	// gone holds instances that were seen draining or gone, by incarnation.
	gone *departures

	mu sync.Mutex
	// config is the configuration in force as it stands in the store, for VMs that the
	// store turns away.
	config store.Item
	newer  newerConfiguration
}

// New builds a process.
func New(s *platform.Settings, log zerolog.Logger) (*Process, error) {
	p := &Process{settings: s, log: log, metrics: metrics.NewRegistry(), gone: newDepartures(), entries: newInstanceEntries(platform.Instance)}
	p.store = platform.NewStore(s.Store.Address, p.countStoreCall)
	p.replicas = platform.NewReplicas()
	p.assigner = assign.New()
	p.limiter = teamrate.New(toleranceOf(s), time.Now().UnixNano())
	p.assigner.OnEjection(func(instance string, failures float64, until time.Time) {
		p.log.Warn().Str("event", "upstream_ejected").Str("instance", instance).Float64("failure_rate", failures).
			Dur("for_ms", time.Until(until)).Send()
	})
	p.budget = retrybudget.New(retryLimitsOf(s), time.Now())
	p.tracker = newTracker(p.store, log, p.follow, func() int { return p.fleet.size() }, s.Bounds.Configuration, relay{
		hubs: func() []string { return p.fleet.hubs() }, ask: p.askHub,
	})
	p.candidate = leadership.New(leadership.Options{
		Store: p.store, VM: s.VM, Prefix: ownPrefix, LeaseMin: s.Store.LeaseMin,
		Settle: s.Bounds.OrderLease, Clock: clock.Boot(), Log: log,
		Stands: func() bool { return p.fleet.mayLead() || p.tracker.alone() },
	})
	empty := make(map[string]*upstream.Instance)
	p.instances.Store(&empty)
	if err := p.buildPeers(); err != nil {
		return nil, err
	}
	p.planner = newPlanner(p)
	p.core = traffic.New(traffic.Options{
		Upstreams: p.replicas, Assigner: p.assigner, Limiter: p.limiter,
		Budget:   p.budget,
		Instance: p.instance, VMs: p.fleet.size, EnsureAdapter: p.ensureAdapter, UpstreamsAge: p.tracker.age,
		Outdated: func() bool { return p.newer.behind(time.Now()) > 0 },
		Log:      log, Metrics: p.metrics,
	})
	p.ingress = platform.NewIngress(p.core)
	return p, nil
}

func (p *Process) buildPeers() error {
	security := peer.Security{AllowPlainText: true}
	pool, err := peer.NewPool(security)
	if err != nil {
		return err
	}
	server, err := peer.NewServer(security)
	if err != nil {
		return err
	}
	p.pool, p.peerServer = pool, server
	p.fleet = newFleet(p)
	return nil
}

func (p *Process) peerAddress() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort))
}

// metricsAddress is where metrics are served: the last port between VMs.
func (p *Process) metricsAddress() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.LastPort))
}

func (p *Process) instance(id string) *upstream.Instance { return (*p.instances.Load())[id] }

// Run serves until ctx ends, then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	p.log.Info().Str("event", "start").Str("callers", p.settings.Callers).Send()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	servers, err := p.listen(background)
	if err != nil {
		return err
	}
	for _, s := range servers {
		group.Go(s.serve)
	}
	peers, err := transport.NewListenConfig(transport.Limits{}).Listen(background, "tcp4", p.peerAddress())
	if err != nil {
		return errors.Wrap(err, "vm: peers")
	}
	leading, resign := context.WithCancel(background)
	group.Go(func() error { return p.tracker.run(background) })
	group.Go(func() error { return p.measure(background) })
	group.Go(func() error { return p.fleet.register(background) })
	group.Go(func() error { return p.fleet.run(background) })
	group.Go(func() error { return p.fleet.sent.run(background) })
	group.Go(func() error { return p.candidate.Run(leading) })
	group.Go(func() error { return p.planner.run(leading) })
	group.Go(func() error { return p.peerServer.Serve(background, peers, peerGrace) })
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	p.drain(background, servers, resign)
	stop()
	err = group.Wait()
	p.log.Info().Str("event", "stop").AnErr("cause", err).Send()
	return err
}

const (
	// peerGrace bounds the wait for calls of peers at the end.
	peerGrace = 300 * time.Millisecond
	// leaveTime is how long a stopping VM goes on taking connections: callers keep
	// addresses for some seconds.
	leaveTime = 3 * time.Second
	// stopMargin is how much of the grace period is left for the end itself.
	stopMargin = 700 * time.Millisecond
)

// drain takes the VM out of the answers, serves what still comes for a while, then
// refuses new requests as not run and waits until the others have ended.
//
// A leader goes on leading until the end of its grace period. Its successor gives no orders
// for the first three seconds, and when all VMs are stopped in turn the lead passes to VMs
// that are stopped next: adapters could not be had for eleven seconds in a row.
func (p *Process) drain(background context.Context, servers []*server, resign func()) {
	p.log.Info().Str("event", "draining").Int64("pending", p.ingress.Pending()).Send()
	end := time.Now().Add(p.settings.Bounds.Grace - stopMargin)
	p.leaving.Store(true)
	p.core.Close()
	p.fleet.announce()
	sleep(background, min(leaveTime, p.settings.Bounds.Grace/2))
	p.core.RefuseNew()
	for time.Now().Before(end) && (p.ingress.Pending() > 0 || p.candidate.Leads()) && background.Err() == nil {
		sleep(background, 20*time.Millisecond)
	}
	resign()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(background), stopMargin/2)
	defer cancel()
	for _, s := range servers {
		_ = s.http.Shutdown(ctx)
		_ = s.http.Close()
	}
}

// ready reports whether callers may be sent here.
func (p *Process) ready() bool {
	return !p.leaving.Load() && p.viewed.Load() && p.core.Catalog() != nil && p.newer.behind(time.Now()) <= p.settings.Bounds.Configuration
}

type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

const (
	// headerLimit bounds the headers of a request in bytes; headerTimeout the time
	// in which they have to come. The configuration's own limits are lower, but
	// change while connections are open.
	headerLimit   = 64 << 10
	headerTimeout = 10 * time.Second
	// callerIdle is how long an idle connection of a caller is kept. Callers reuse
	// connections up to four fifths of the configured time, which may be changed;
	// a longer time cuts nobody.
	callerIdle = 90 * time.Second
)

func (p *Process) listen(ctx context.Context) ([]*server, error) {
	config := transport.NewListenConfig(transport.Limits{UserTimeout: 5 * time.Second})
	var out []*server
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{p.settings.Callers, p.ingress},
		{p.settings.Readiness, platform.NewReadiness(p.ready)},
		{p.settings.Directory, platform.NewDirectory(p.fleet)},
		{p.metricsAddress(), telemetry.TextHandler(p.metrics)},
	} {
		listener, err := config.Listen(ctx, "tcp4", s.address)
		if err != nil {
			return nil, errors.Wrapf(err, "vm: listen on %s", s.address)
		}
		out = append(out, &server{listener: listener, http: &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: headerLimit,
			ErrorLog: nil,
		}})
	}
	return out, nil
}

// follow takes a newer view of the store.
func (p *Process) follow(v view) {
	p.followOwn(v)
	p.setInstances(v)
	// Requests that wait for the first configuration need the rest by then.
	if item, ok := v.items[platform.ConfigurationKey]; ok {
		p.configure(item)
	}
	p.viewed.Store(true)
}

// followOwn takes in the keys of this project, those of the VMs if any key has changed. A revision
// is never given twice, so that each change shows in the newest one or in the number of keys.
func (p *Process) followOwn(v view) {
	// A candidate that has lost its lease stands again only once it has seen a further view.
	p.candidate.Observe(v.items)
	keys, newest := 0, int64(0)
	for key, item := range v.items {
		if strings.HasPrefix(key, ownPrefix) {
			keys++
			newest = max(newest, item.Revision)
		}
	}
	if p.viewed.Load() && keys == p.ownKeys && newest == p.ownNewest {
		return
	}
	p.ownKeys, p.ownNewest = keys, newest
	own := make(map[string]store.Item, keys)
	for key, item := range v.items {
		if strings.HasPrefix(key, ownPrefix) {
			own[key] = item
		}
	}
	p.fleet.observe(own)
}

// configure puts a configuration in force if it is newer than the one that is. A
// configuration that cannot be read leaves the old one in force.
func (p *Process) configure(config store.Item) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := config.Revision
	if revision <= p.config.Revision {
		return
	}
	next, skipped, err := platform.Configuration(config.Value)
	if err != nil {
		p.log.Error().Str("event", "configuration_unreadable").Int64("revision", revision).AnErr("cause", err).Send()
		return
	}
	for _, s := range skipped {
		p.log.Warn().Str("event", "configuration_part_skipped").Int64("revision", revision).AnErr("cause", s).Send()
	}
	p.config = config
	p.newer.applied(revision, time.Now())
	p.tracker.values.note(config)
	p.limiter.SetLimits(limitsOf(next), time.Now())
	p.assigner.SetCatalog(next)
	p.core.SetCatalog(next)
	p.log.Info().Str("event", "configuration_in_force").Int64("version", next.Version).Int64("revision", revision).
		Int("routes", len(next.Routes())).Int("bytes", len(config.Value)).Interface("rates", limitsOf(next)).Send()
}

func limitsOf(c *catalog.Catalog) map[string]teamrate.Limit {
	out := make(map[string]teamrate.Limit, len(c.Teams))
	for name, t := range c.Teams {
		out[name] = teamrate.Limit{Rate: t.Rate, Burst: t.Burst}
	}
	return out
}

// configuration returns the configuration in force as it stands in the store; its revision
// is zero if there is none yet.
func (p *Process) configuration() store.Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config
}

// Reload takes the settings that can change while the process runs: the bounds on
// rates and on repeats. Addresses take effect at the next start. Settings that cannot
// be read leave the old ones in force.
func (p *Process) Reload(read func() (*platform.Settings, error)) {
	next, err := read()
	if err != nil {
		p.log.Error().Str("event", "reload_failed").AnErr("cause", err).Send()
		return
	}
	p.limiter.SetTolerance(toleranceOf(next))
	p.budget.SetLimits(retryLimitsOf(next))
	restart := next.Callers != p.settings.Callers || next.Directory != p.settings.Directory || next.Store != p.settings.Store
	p.log.Info().Str("event", "reload").Bool("restart_needed", restart).Send()
}

func toleranceOf(s *platform.Settings) teamrate.Tolerance {
	return teamrate.Tolerance{Units: s.Bounds.RateSlack, Window: s.Bounds.RateWindow}
}

func retryLimitsOf(s *platform.Settings) retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow}
}
