package vm

import (
	"context"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/platform"
)

// gaugeInterval is how often gauges are updated. Metrics are scraped every few seconds.
const gaugeInterval = 2 * time.Second

// updateGauges keeps the gauges up to date until ctx ends.
func (p *Process) updateGauges(ctx context.Context) error {
	for ctx.Err() == nil {
		p.setGauge("requests.pending", p.ingress.Pending())
		p.setGauge("upstreams.age_ms", p.tracker.viewAge().Milliseconds())
		p.setGauge("upstreams.known", int64(len(*p.instances.Load())))
		p.setGauge("vms.known", int64(p.fleet.size()))
		p.setGauge("upstreams.connections_opened", p.replicas.Pool.Dials())
		_, configuration := p.configuration()
		p.setGauge("configuration.version", configuration.version)
		p.setGauge("configuration.revision", configuration.revision.Count())
		p.setGauge("store.era", int64(p.store.Era()))
		p.setGauge("configuration.behind_ms", p.configurationLag.behind(time.Now()).Milliseconds())
		p.setGauge("leadership.leads", boolToInt(p.candidate.HoldsLease()))
		p.setGauge("upstreams.rate_limited", int64(len(p.assigner.RateLimits().InForce())))
		p.setGauge("upstreams.brittle_services", int64(len(p.assigner.BrittleServices())))
		p.setGauge("upstreams.services_unreachable", int64(len(p.unreachable())))
		p.setGauge("upstreams.retry_later", int64(p.assigner.RetryLaterCount(time.Now())))
		p.setGauge("upstreams.slow", int64(p.assigner.SlowUpstreams(time.Now())))
		_, late := p.limiter.LateVMs(time.Now())
		p.setGauge("rates.late_vms", int64(late))
		p.setGauge("streams.origins", int64(p.origins.Len()))
		p.updateLoadGauges()
		p.updateAdmissionGauges()
		p.updateHeldMemory()
		p.updateConnections()
		sleep(ctx, gaugeInterval)
	}
	return nil
}

func (p *Process) updateLoadGauges() {
	requests, prefill, kv := 0, 0, 0
	for _, l := range p.assigner.Loads() {
		requests += l.Requests
		prefill += l.PrefillTokens
		kv += l.KVTokens
	}
	p.setGauge("upstreams.requests_in_flight", int64(requests))
	p.setGauge("upstreams.prompt_tokens_waiting", int64(prefill))
	p.setGauge("upstreams.kv_tokens_in_use", int64(kv))
}

// recordEstimate records how far the observed time of a request is from the expected one, in percent of it.
func (p *Process) recordEstimate(service string, expected, observed time.Duration) {
	if expected > 0 {
		telemetry.NewHistogram(p.metrics, "estimate_percent."+service).Update(int64(100 * observed / expected))
	}
}

func (p *Process) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, p.metrics).Update(value)
}

func (p *Process) incrementCounter(name string) { p.addToCounter(name, 1) }

func (p *Process) addToCounter(name string, by int64) {
	metrics.GetOrRegisterCounter(name, p.metrics).Inc(by)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// countStoreCall counts store calls by name and outcome, and the bytes received in their
// answers, including answers that were cut off. The outcome is "no_answer" for
// store.ErrUnknown, "turned_away" for store.ErrRefused, and "refused" for all other errors.
func (p *Process) countStoreCall(call platform.StoreCall) {
	outcome := "ok"
	switch {
	case errors.Is(call.Err, store.ErrUnknown):
		outcome = "no_answer"
	case errors.Is(call.Err, store.ErrRefused):
		outcome = "turned_away"
	case call.Err != nil:
		outcome = "refused"
	}
	p.incrementCounter("store_calls." + call.Name + "." + outcome)
	p.addToCounter("store_calls."+call.Name+".received_bytes", call.Received)
}
