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

	"github.com/chestnutarch/chestnutarch/internal/admission"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/connlimit"
	"github.com/chestnutarch/chestnutarch/internal/holding"
	"github.com/chestnutarch/chestnutarch/internal/inbound"
	"github.com/chestnutarch/chestnutarch/internal/leadership"
	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/origins"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/reach"
	"github.com/chestnutarch/chestnutarch/internal/retrybudget"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/traffic"
	"github.com/chestnutarch/chestnutarch/internal/transport"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// projectPrefix is the prefix of this project's keys in the store.
const projectPrefix = "chestnutarch/"

// Process is the process of one VM.
type Process struct {
	settings *platform.Settings
	disabled []Part
	log      zerolog.Logger
	metrics  metrics.Registry

	store      store.Store
	replicas   *platform.Replicas
	tracker    *tracker
	stalls     *stalls
	assigner   *assign.Assigner
	limiter    *teamrate.Limiter
	budget     *retrybudget.Budget
	quarantine *quarantine.Table
	origins    *origins.Table
	versions   *origins.History
	reach      *reach.Tracker
	admission  *admission.Controller
	// answers and bodies bound the memory that is used for callers and upstreams that read slowly; nil if it is not bounded.
	answers, bodies *holding.Account
	core            *traffic.Core
	ingress         *platform.Ingress
	candidate       *leadership.Candidate
	fleet           *fleet
	planner         *planner
	pool            *peer.Pool
	connections     connections
	peerServer      *peer.Server

	instances atomic.Pointer[map[string]*upstream.Instance]
	entries   *instanceEntries
	draining  atomic.Bool
	// forwarded counts the requests of other VMs that are being served.
	forwarded atomic.Int64
	// viewReceived is set once a view of the store has been applied, so that upstreams are
	// known.
	viewReceived atomic.Bool
	// departures holds the incarnations of instances that were seen draining or gone.
	departures *departures
	// evacuations holds the failure domains that are being evacuated, evacuatedDomains those that
	// the last view names.
	evacuations      *evacuations
	evacuatedDomains []string
	// drainingInstances holds the IDs of the instances that are draining.
	drainingInstances map[string]bool
	// instancesMu serializes changes of instances.
	instancesMu sync.Mutex
	// operators are those who may ask where requests would go, explaining serializes their questions.
	operators  atomic.Pointer[operator.Operators]
	explaining sync.Mutex

	mu sync.Mutex
	// config is the configuration in force as stored, kept so that it can be served to VMs
	// that the store refuses.
	config           store.Item
	configurationLag configurationLag
	// configVersion is the operator's version of config. rejectedConfiguration is the revision of the last
	// configuration that was not put in force.
	configVersion         int64
	rejectedConfiguration store.Revision
}

// New returns a process built from its settings, without the parts that are disabled.
func New(s *platform.Settings, log zerolog.Logger, disabled ...Part) (*Process, error) {
	p := &Process{
		settings: s, log: log, disabled: disabled, metrics: metrics.NewRegistry(), departures: newDepartures(),
		entries: newInstanceEntries(func(item store.Item) (*upstream.Instance, error) {
			return platform.Instance(item, s.Regions)
		}, s.Heartbeat),
		evacuations: newEvacuations(s.Bounds), drainingInstances: make(map[string]bool),
	}
	client := platform.NewStore(s.Store.Address, p.countStoreCall)
	client.OnEra = p.recordEra
	p.store = client
	p.replicas = platform.NewReplicasWithBuffers(p.socketBuffer(heldSocketBuffer))
	p.assigner = assign.New()
	if !p.enabled(PartReportedLoad) {
		p.assigner.IgnoreReportedLoad()
	}
	if !p.enabled(PartCost) {
		p.assigner.IgnoreCosts()
	}
	p.limiter = teamrate.New(toleranceOf(s), time.Now().UnixNano())
	p.assigner.OnEjection(func(instance string, failures float64, until time.Time) {
		p.log.Warn().Str("event", "upstream_ejected").Str("instance", instance).Float64("failure_rate", failures).
			Dur("for_ms", time.Until(until)).Send()
	})
	p.assigner.OnEstimate(p.recordEstimate)
	p.budget = retrybudget.New(retryLimitsOf(s), time.Now())
	p.quarantine = quarantine.NewTable(s.VM)
	p.origins = origins.NewTable()
	p.versions = origins.NewHistory(time.Now())
	p.reach = reach.NewTracker()
	p.admission = p.newAdmission()
	p.stalls = newStalls(s.Bounds.Draining, log)
	p.tracker = newTracker(p.store, log, p.applyView, func() int { return p.fleet.size() }, s.Bounds.Configuration, s.Heartbeat, p.stalls, hubClient{
		hubs: func() []string { return p.fleet.hubs() }, follow: p.callHub,
		isHub:      func() bool { return p.fleet.isHub() },
		setMembers: func(members map[string]store.Item) { p.fleet.updateRegistrations(members) },
	})
	p.tracker.departed, p.tracker.onSuperseded = p.hasDeparted, p.recordSuperseded
	p.candidate = leadership.New(leadership.Options{
		Store: p.store, VM: s.VM, Prefix: projectPrefix, LeaseMin: s.Store.LeaseMin,
		TakeoverDelay: s.Bounds.OrderLease, Restart: s.Restart, Clock: clock.Boot(), Log: log,
		Eligible: func() bool { return p.fleet.eligibleToLead() || p.tracker.allHubsFailed() },
		Unfit:    p.unfitToLead,
	})
	empty := make(map[string]*upstream.Instance)
	p.instances.Store(&empty)
	if err := p.buildPeers(); err != nil {
		return nil, err
	}
	p.planner = newPlanner(p)
	p.replicas.OnCallAnswer = func(i *upstream.Instance, said upstream.Pushback) {
		if said.Leaving {
			p.recordLeaving(i)
		}
	}
	p.boundHeldMemory()
	p.connections = newConnections(s)
	p.core = traffic.New(traffic.Options{
		Upstreams: p.replicas, Assigner: p.assigner, Limiter: p.limiter,
		Budget:   p.budget,
		Instance: p.instance, VMs: p.fleet.size, EnsureAdapter: p.ensureAdapter, EnsureModel: p.ensureModel, Permit: p.fleet.permit, TakePlace: p.fleet.places.request, ReleasePlace: p.fleet.places.release, RecordLeaving: p.recordLeaving, ShareSlowdown: p.fleet.slowdowns.share, UpstreamsAge: p.tracker.viewAge, UpstreamsRevision: func() string { return p.tracker.viewRevision().String() }, AwaitUpstreams: p.stalls.awaitNews,
		Admission: p.admission, Reach: p.reach, Forward: p.fleet.forward, Quarantine: p.quarantine, Liveness: p.replicas.Liveness, MayTry: p.leads, ShareEnds: p.fleet.ends.share,
		Origins: p.origins, ShareOrigin: p.fleet.origins.share, AskOrigin: p.fleet.askOrigin, OnlyVersion: p.onlyVersion,
		Answers:  p.answers,
		Outdated: func() bool { return p.configurationLag.behind(time.Now()) > 0 },
		Log:      log, Metrics: p.metrics,
	})
	p.ingress = platform.NewIngress(p.core)
	p.ingress.HoldBodies(p.bodies, p.logBodyRefused)
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

// metricsAddress returns the address that serves metrics and operators' questions: the last of the ports reserved for
// traffic between VMs.
func (p *Process) metricsAddress() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.LastPort))
}

func (p *Process) instance(id string) *upstream.Instance { return (*p.instances.Load())[id] }

// Run serves until ctx ends, then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	p.log.Info().Str("event", "start").Str("callers", p.settings.Callers).Send()
	p.logDisabledParts()
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
	peers, err := transport.NewListenConfig(transport.Limits{ReceiveBuffer: p.socketBuffer(peerSocketBuffer)}).Listen(background, "tcp4", p.peerAddress())
	if err != nil {
		return errors.Wrap(err, "vm: listen for peers")
	}
	peers = inbound.NewGRPCListener(peers, p.connections.peers, false)
	leading, resign := context.WithCancel(background)
	group.Go(func() error { return p.tracker.run(background) })
	group.Go(func() error { return p.stalls.run(background) })
	group.Go(func() error { return p.watchReach(background) })
	group.Go(func() error { return p.updateGauges(background) })
	group.Go(func() error { return p.learnSpeeds(background) })
	group.Go(func() error { return p.fleet.register(background) })
	group.Go(func() error { return p.fleet.run(background) })
	group.Go(func() error { return p.fleet.notifier.run(background) })
	group.Go(func() error { return p.fleet.announcements.run(background) })
	group.Go(func() error { return p.fleet.places.run(background) })
	group.Go(func() error { return p.candidate.Run(leading) })
	group.Go(func() error { return p.planner.run(leading) })
	group.Go(func() error { return p.peerServer.Serve(background, peers, peerShutdownTimeout) })
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
	// peerShutdownTimeout bounds the wait for running calls of peers at shutdown.
	peerShutdownTimeout = 300 * time.Millisecond
	// lameDuckPeriod is how long a stopping VM keeps accepting connections: callers cache
	// addresses for some seconds.
	lameDuckPeriod = 3 * time.Second
	// shutdownMargin is the part of the grace period reserved for shutting down the servers
	// after draining.
	shutdownMargin = 700 * time.Millisecond
)

// drain removes the VM from address answers, serves late requests for the lame duck period,
// then refuses new requests as not executed and waits until the running ones have ended. Those that
// have not by the end of the grace period get an answer that says whether they may have run.
//
// A leader keeps leading until the end of its grace period. Its successor sends no orders for
// the first three seconds, and in a rolling restart the leadership passes to VMs that are
// stopped next: without this, no adapter could be loaded for eleven seconds in a row.
func (p *Process) drain(background context.Context, servers []*server, resign func()) {
	p.log.Info().Str("event", "draining").Int64("pending", p.ingress.Pending()).Send()
	deadline := time.Now().Add(p.settings.Bounds.Grace - shutdownMargin)
	p.draining.Store(true)
	p.core.Close()
	p.fleet.exchangeNow()
	sleep(background, min(lameDuckPeriod, p.settings.Bounds.Grace/2))
	p.core.RefuseNew()
	for time.Now().Before(deadline) && (p.ingress.Pending() > 0 || p.forwarded.Load() > 0 || p.candidate.HoldsLease()) && background.Err() == nil {
		sleep(background, 20*time.Millisecond)
	}
	p.core.GiveUp()
	resign()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(background), shutdownMargin/2)
	defer cancel()
	for _, s := range servers {
		_ = s.http.Shutdown(ctx)
		_ = s.http.Close()
	}
}

// ready reports whether callers may be sent to this VM.
func (p *Process) ready() bool {
	return !p.draining.Load() && p.viewReceived.Load() && p.core.Catalog() != nil && p.configurationLag.behind(time.Now()) <= p.settings.Bounds.Configuration
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
	// maxHeaderBytes bounds the head of a request unless the configuration does, serverHeaderBytes
	// in any case. headerTimeout is the time in which it has to arrive.
	maxHeaderBytes    = 64 << 10
	serverHeaderBytes = 1 << 20
	headerTimeout     = 10 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept open. Callers
	// reuse connections for up to four fifths of the configured time, which may change; a
	// longer time here never closes a connection that a caller is about to reuse.
	callerIdleTimeout = 90 * time.Second
	// callerUserTimeout is how long bytes sent to a caller may stay unacknowledged, unless the caller is alive and its request
	// has time left.
	callerUserTimeout = 5 * time.Second
)

func (p *Process) listen(ctx context.Context) ([]*server, error) {
	config := transport.NewListenConfig(transport.Limits{UserTimeout: callerUserTimeout, SocketBuffer: p.socketBuffer(heldSocketBuffer), ReceiveBuffer: p.socketBuffer(headSocketBuffer)})
	var out []*server
	for _, s := range []struct {
		address     string
		handler     http.Handler
		connections *connlimit.Group
	}{
		{p.settings.Callers, p.ingress, p.connections.callers},
		{p.settings.Readiness, platform.NewReadiness(p.ready), p.connections.readiness},
		{p.settings.Directory, platform.NewDirectory(p.fleet), p.connections.directory},
		{p.metricsAddress(), p.operatorHandler(), p.connections.operators},
	} {
		listener, err := config.Listen(ctx, "tcp4", s.address)
		if err != nil {
			return nil, errors.Wrapf(err, "vm: listen on %s", s.address)
		}
		served := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: serverHeaderBytes,
			ErrorLog: nil,
		}
		inbound.Attach(served)
		bounded := inbound.NewListener(listener, s.connections)
		bounded.UserTimeout = callerUserTimeout
		bounded.HeadLimit, bounded.ReceiveBuffer, bounded.BodyBuffer = p.headLimit, p.socketBuffer(headSocketBuffer), p.socketBuffer(heldSocketBuffer)
		out = append(out, &server{listener: bounded, http: served})
	}
	return out, nil
}

// recordEra records that the store has begun an era, which other VMs may be the first to hear of. What this VM has written
// under leases may be gone.
func (p *Process) recordEra(before, now store.Era) {
	p.log.Info().Str("event", "store_era").Int64("era", int64(now)).Int64("before", int64(before)).Send()
	if before != 0 {
		p.fleet.checkRegistration()
	}
}

// applyView applies a newer view of the store and its difference from the one before.
func (p *Process) applyView(v view, d viewDelta) {
	p.store.RaiseEra(v.revision.Era())
	p.applyProjectKeys(v, d)
	evacuations := p.updateEvacuations(v, d)
	p.setInstances(v, d, !evacuations.isEmpty())
	p.logEvacuations(evacuations, "")
	// Applied last: requests that wait for the first configuration need the members and
	// instances as soon as it is in force.
	if item, ok := v.items[platform.ConfigurationKey]; ok {
		p.applyConfiguration(item)
	}
	p.viewReceived.Store(true)
}

// applyProjectKeys applies the keys of this project. The registrations of VMs are read only
// if any of these keys has changed.
func (p *Process) applyProjectKeys(v view, d viewDelta) {
	// Called for every view: a candidate that has lost its lease stands for election again
	// only once it has seen a further view.
	p.candidate.Observe(v.items, v.revision.Era())
	if p.viewReceived.Load() && !d.touches(projectPrefix) {
		return
	}
	own := make(map[string]store.Item)
	for key, item := range v.items {
		if strings.HasPrefix(key, projectPrefix) {
			own[key] = item
		}
	}
	p.fleet.updateRegistrations(own)
	p.checkRegistration(own, v.leasedRevision)
}

// checkRegistration has the registration written again if a view of the store, whose leased keys are of a revision, does
// not have it as it was written.
func (p *Process) checkRegistration(own map[string]store.Item, revision store.Revision) {
	item, present := own[p.fleet.registrationKey()]
	if !p.fleet.written.check(item, present, revision) {
		return
	}
	p.incrementCounter("registrations.lost")
	p.log.Warn().Str("event", "registration_lost").Bool("present", present).Stringer("revision", revision).Send()
	p.fleet.checkRegistration()
}

// Reload applies the settings that can change while the process runs: the rate tolerance and
// the retry budget. Addresses take effect at the next start. If read fails, the old settings
// stay in force.
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
