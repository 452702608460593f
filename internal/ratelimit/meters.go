package ratelimit

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// meters publishes the state machine's counters.
type meters struct {
	registry metrics.Registry
}

func newMeters(registry metrics.Registry) meters {
	return meters{registry: registry}
}

func (m meters) set(name string, value int64) {
	metrics.GetOrRegisterGauge("quota."+name, m.registry).Update(value)
}

func (m meters) update(s quota.Stats) {
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
