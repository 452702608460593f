package settings

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Defaults of the planner process.
const (
	DefaultPlannerLease    = 5 * time.Second
	DefaultPlannerInterval = 500 * time.Millisecond
)

// Planner holds the settings of chestnut-planner.
type Planner struct {
	// VM identifies this VM. It is unique in the environment.
	VM string `yaml:"vm"`
	// Environment names the environment document to serve.
	Environment string `yaml:"environment"`
	// FailureDomain is this VM's failure domain.
	FailureDomain string `yaml:"failure_domain"`
	// Listen gives the addresses to listen on.
	Listen PlannerListen `yaml:"listen"`
	// KV tells where the key-value service is.
	KV KV `yaml:"kv"`
	// TLS gives certificates.
	TLS TLS `yaml:"tls"`
	// Connections bounds what connections of clients cost the process.
	Connections Connections `yaml:"connections"`
	// Lease is how long leadership lasts without renewal. The default is 5s.
	Lease time.Duration `yaml:"lease"`
	// Interval is the time between two looks at the engines. The default is
	// 500ms.
	Interval time.Duration `yaml:"interval"`
	// Log says what is logged.
	Log telemetry.LogSettings `yaml:"log"`
	// Traces says where spans go.
	Traces telemetry.TraceSettings `yaml:"traces"`
}

// PlannerListen gives the listeners of chestnut-planner, each "IP:port".
type PlannerListen struct {
	// Peers serves the plan to own processes.
	Peers string `yaml:"peers"`
	// Metrics serves /metrics. Empty means that there is no such listener.
	Metrics string `yaml:"metrics"`
}

// Provision sets empty fields to their defaults.
func (s *Planner) Provision() {
	s.Log.Provision()
	s.Traces.Provision()
	s.KV.provision()
	s.Connections.provision()
	setDefault(&s.Lease, DefaultPlannerLease)
	setDefault(&s.Interval, DefaultPlannerInterval)
}

// check returns every error in s.
func (s *Planner) check(source *strictyaml.Source) strictyaml.Errors {
	c := &checker{source: source}
	c.required("vm", s.VM)
	c.required("environment", s.Environment)
	c.required("failure_domain", s.FailureDomain)
	c.address("listen.peers", s.Listen.Peers)
	c.optionalAddress("listen.metrics", s.Listen.Metrics)
	c.kv(&s.KV)
	c.tls(&s.TLS)
	c.requireTLS("listen.peers", s.Listen.Peers, &s.TLS.Peers, s.TLS.AllowPlainText)
	c.connections("connections", &s.Connections)
	c.atLeast("lease", int64(s.Lease), int64(time.Second))
	c.atLeast("interval", int64(s.Interval), int64(time.Millisecond))
	c.telemetry(s.Log.Validate(), s.Traces.Validate())
	return c.errs
}
