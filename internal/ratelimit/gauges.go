package ratelimit

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// statsGauges publishes the state machine's counters as gauges.
type statsGauges struct {
	registry metrics.Registry
}

func newStatsGauges(registry metrics.Registry) statsGauges {
	return statsGauges{registry: registry}
}

func (m statsGauges) set(name string, value int64) {
	metrics.GetOrRegisterGauge("quota."+name, m.registry).Update(value)
}

func (m statsGauges) update(s quota.Stats) {
	m.set("admitted_tokens", s.AdmittedTokens)
	m.set("refused_tokens", s.RefusedTokens)
	for cause, n := range s.Refused {
		m.set("refused."+string(cause), n)
	}
	m.set("messages", s.Messages)
	m.set("loans", s.Loans)
	m.set("collections", s.Collections)
	m.set("kv.reads", s.Reads)
	m.set("kv.writes", s.Writes)
}
