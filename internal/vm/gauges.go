package vm

import (
	"context"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/platform"
)

// measureEvery is how often gauges are read: the pace at which metrics are fetched is
// a few seconds.
const measureEvery = 2 * time.Second

// measure keeps the gauges up to date until ctx ends.
func (p *Process) measure(ctx context.Context) error {
	for ctx.Err() == nil {
		p.gauge("requests.pending", p.ingress.Pending())
		p.gauge("upstreams.age_ms", p.tracker.age().Milliseconds())
		p.gauge("upstreams.known", int64(len(*p.instances.Load())))
		p.gauge("vms.known", int64(p.fleet.size()))
		p.gauge("upstreams.connections_opened", p.replicas.Pool.Dials())
		p.gauge("configuration.revision", p.configuration().Revision)
		p.gauge("configuration.behind_ms", p.newer.behind(time.Now()).Milliseconds())
		p.gauge("leadership.leads", boolean(p.candidate.Leads()))
		p.gaugeLoads()
		sleep(ctx, measureEvery)
	}
	return nil
}

func (p *Process) gaugeLoads() {
	requests, prefill, kv := 0, 0, 0
	for _, l := range p.assigner.Loads() {
		requests += l.Requests
		prefill += l.PrefillTokens
		kv += l.KVTokens
	}
	p.gauge("upstreams.requests_in_flight", int64(requests))
	p.gauge("upstreams.prompt_tokens_waiting", int64(prefill))
	p.gauge("upstreams.kv_tokens_in_use", int64(kv))
}

func (p *Process) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, p.metrics).Update(value)
}

func (p *Process) counter(name string) { p.add(name, 1) }

func (p *Process) add(name string, by int64) {
	metrics.GetOrRegisterCounter(name, p.metrics).Inc(by)
}

func boolean(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// countStoreCall counts the calls of the store by name and outcome, and the bytes of their
// answers, those of answers that broke off included.
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
	p.counter("store_calls." + call.Name + "." + outcome)
	p.add("store_calls."+call.Name+".received_bytes", call.Received)
}
