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

// Planner is one of the planners of an environment. One at a time leads.
type Planner struct {
	options   Options
	orders    engine.OrderClient
	reports   *engine.Client
	leader    atomic.Pointer[Leader]
	status    atomic.Pointer[Status]
	planTimer metrics.Timer
	// demand carries the entry VMs' reports to the leader's goroutine.
	demand chan demand.Report
}

// New returns a planner. Errors wrap ErrOptions.
func New(o Options) (*Planner, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	o.provision()
	return &Planner{
		options:   o,
		planTimer: telemetry.NewTimer(o.Metrics, "planner.plan"),
		demand:    make(chan demand.Report, reportBuffer),
		orders:    engine.OrderClient{Timeout: o.OrderTimeout, TLS: o.TLS},
		reports:   engine.NewClient(engine.ClientOptions{CallTimeout: o.OrderTimeout, TLS: o.TLS}),
	}, nil
}

// retryPause is the wait after a failed attempt to become leader.
const retryPause = 500 * time.Millisecond

// configPoll is the wait for a configuration.
const configPoll = 100 * time.Millisecond

// Run plans until ctx ends, and returns nil then. A leader that is stopped
// hands over at once.
func (p *Planner) Run(ctx context.Context) error {
	defer p.reports.Close()
	for p.options.Config() == nil {
		if !pause(ctx, configPoll) {
			return nil
		}
	}
	for ctx.Err() == nil {
		term, err := p.campaign(ctx)
		switch {
		case err == nil:
			p.lead(ctx, term)
		case errors.Is(err, errNotElected):
			p.awaitVacancy(ctx)
		default:
			pause(ctx, retryPause)
		}
	}
	return nil
}

// lead works as leader until the term or ctx ends.
func (p *Planner) lead(ctx context.Context, t *term) {
	p.leader.Store(&Leader{VM: p.options.VM, URL: p.options.URL})
	log := p.options.Log.With().Int64("fence", t.fence).Logger()
	log.Info().Str("vm", p.options.VM).Msg("leads")
	metrics.GetOrRegisterGauge("planner.leads", p.options.Metrics).Update(1)
	l := newLeadership(p, t, log)
	err := l.run(ctx)
	p.status.Store(nil)
	metrics.GetOrRegisterGauge("planner.leads", p.options.Metrics).Update(0)
	log.Info().Err(err).Msg("no longer leads")
	p.revoke(ctx, t.lease)
}

// pause waits. It returns false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
