package planner

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/credentials"
	"github.com/chestnutarch/chestnutarch/internal/inbound"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// readHeaderTimeout bounds how long a client may take to send its request
// headers.
const readHeaderTimeout = 5 * time.Second

// idleTimeout is the time after which a connection without requests is closed.
const idleTimeout = 60 * time.Second

// Process is one chestnut-planner process: a planner with its configuration and
// its listeners.
type Process struct {
	config          *configsync.Syncer
	planner         *Planner
	metrics         metrics.Registry
	peerListener    net.Listener
	metricsListener net.Listener
}

// NewProcess builds the process and opens its listeners.
func NewProcess(ctx context.Context, s *settings.Planner, log zerolog.Logger) (*Process, error) {
	security, err := process.NewSecurity(s.TLS)
	if err != nil {
		return nil, err
	}
	p := &Process{metrics: metrics.NewRegistry()}
	store, err := security.NewStore(s.KV, kv.Options{Metrics: p.metrics})
	if err != nil {
		return nil, err
	}
	if err := p.listen(ctx, s, security); err != nil {
		return nil, err
	}
	p.config = configsync.NewSyncer(configsync.Options{Store: store, Environment: s.Environment, Log: log, Metrics: p.metrics})
	p.planner, err = New(Options{
		Environment:  s.Environment,
		VM:           s.VM,
		URL:          scheme(security) + p.peerListener.Addr().String(),
		Store:        store,
		Config:       p.config.Snapshot,
		TLS:          process.ClientTLS(security.Upstreams),
		LeaseTTL:     s.Lease,
		PlanInterval: s.Interval,
		Log:          log,
		Metrics:      p.metrics,
	})
	return p, err
}

func scheme(s *process.Security) string {
	if s.PeerReloader != nil {
		return "https://"
	}
	return "http://"
}

// listen opens the listeners. The peer listener is for the system's own
// processes only, so with TLS it requires a client certificate.
func (p *Process) listen(ctx context.Context, s *settings.Planner, security *process.Security) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Listen.Peers)
	if err != nil {
		return errors.WithStack(err)
	}
	if security.PeerReloader != nil {
		required := credentials.ServerOptions{RequireClientCertificate: true, NextProtos: []string{"http/1.1"}}
		listener = tls.NewListener(listener, security.PeerReloader.Server(required))
	}
	groups := inbound.NewGroups(s.Connections.Max, s.Connections.HeadMemory)
	p.peerListener = inbound.NewListener(listener, groups.Main)
	if s.Listen.Metrics == "" {
		return nil
	}
	listener, err = config.Listen(ctx, "tcp", s.Listen.Metrics)
	if err != nil {
		return errors.WithStack(err)
	}
	p.metricsListener = inbound.NewListener(listener, groups.Other())
	return nil
}

// Run runs the planner and its servers until ctx ends. A leader that is stopped
// hands over immediately.
func (p *Process) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.config.Run(ctx) })
	group.Go(func() error { return p.planner.Run(ctx) })
	serve(ctx, group, p.peerListener, p.planner.Handler())
	if p.metricsListener != nil {
		serve(ctx, group, p.metricsListener, telemetry.MetricsHandler(p.metrics))
	}
	return group.Wait()
}

// serve serves HTTP on a listener until ctx ends.
func serve(ctx context.Context, group *errgroup.Group, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: settings.DefaultMaxHeaderBytes}
	inbound.Attach(server)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.WithStack(err)
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.WithStack(server.Close())
	})
}
