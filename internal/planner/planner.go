package planner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Planner is one of the planners of an environment, of which one leads at a
// time.
type Planner struct {
	options     Options
	orderClient engine.OrderClient
	loadClient  *engine.Client
	leader      atomic.Pointer[Leader]
	status      atomic.Pointer[Status]
	planTimer   metrics.Timer
	// demandReports carries the entry VMs' reports to the leader's goroutine.
	demandReports chan demand.Report
}

// New returns a planner. Errors wrap ErrOptions.
func New(o Options) (*Planner, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.applyDefaults()
	return &Planner{
		options:       o,
		planTimer:     telemetry.NewTimer(o.Metrics, "planner.plan"),
		demandReports: make(chan demand.Report, maxQueuedReports),
		orderClient:   engine.OrderClient{Timeout: o.OrderTimeout, TLS: o.TLS},
		loadClient:    engine.NewClient(engine.ClientOptions{CallTimeout: o.OrderTimeout, TLS: o.TLS}),
	}, nil
}

// campaignRetryDelay is the delay after a failed attempt to become leader.
const campaignRetryDelay = 500 * time.Millisecond

// configPollInterval is the time between two checks for a first configuration.
const configPollInterval = 100 * time.Millisecond

// Run competes for leadership, and plans while it leads, until ctx ends. It
// then returns nil. A leader that is stopped revokes its lease, so that another
// planner can take over immediately.
func (p *Planner) Run(ctx context.Context) error {
	defer p.loadClient.Close()
	for p.options.Config() == nil {
		if !sleep(ctx, configPollInterval) {
			return nil
		}
	}
	for ctx.Err() == nil {
		term, err := p.campaign(ctx)
		switch {
		case err == nil:
			p.runTerm(ctx, term)
		case errors.Is(err, errNotElected):
			p.awaitFreeLeaderKey(ctx)
		default:
			sleep(ctx, campaignRetryDelay)
		}
	}
	return nil
}

// runTerm works as leader until the term or ctx ends.
func (p *Planner) runTerm(ctx context.Context, t *term) {
	p.leader.Store(&Leader{VM: p.options.VM, URL: p.options.URL})
	log := p.options.Log.With().Int64("fence", t.fence).Logger()
	log.Info().Str("vm", p.options.VM).Msg("leads")
	metrics.GetOrRegisterGauge("planner.leads", p.options.Metrics).Update(1)
	l := newLeadership(p, t, log)
	err := l.run(ctx)
	p.status.Store(nil)
	metrics.GetOrRegisterGauge("planner.leads", p.options.Metrics).Update(0)
	log.Info().Err(err).Msg("no longer leads")
	p.revokeLease(ctx, t.lease)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
