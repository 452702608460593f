package settings

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Defaults of the entry process.
const (
	DefaultKVTimeout        = 2 * time.Second
	DefaultAddressLifetime  = 15 * time.Second
	DefaultDrainTimeout     = 5 * time.Minute
	DefaultMaxBodyBytes     = 8 << 20
	DefaultMaxHeaderBytes   = 32 << 10
	DefaultMaxInFlight      = 4096
	DefaultMaxConnections   = 8192
	DefaultMaxHeadMemory    = 64 << 20
	DefaultRequestTimeout   = 2 * time.Minute
	DefaultVMListInterval   = 2 * time.Second
	maxConfiguredBodyBytes  = 64 << 20
	maxConfiguredHeaderSize = 1 << 20
)

// Entry holds the settings of chestnut-entry.
type Entry struct {
	// VM identifies this VM. It is unique in the environment.
	VM string `yaml:"vm"`
	// Environment names the environment document to serve.
	Environment string `yaml:"environment"`
	// FailureDomain is this VM's failure domain.
	FailureDomain string `yaml:"failure_domain"`
	// Listen gives the addresses to listen on.
	Listen EntryListen `yaml:"listen"`
	// Advertise gives the addresses that others use to reach this VM.
	Advertise Advertise `yaml:"advertise"`
	// Peers lists "IP:port" of other VMs' peer listeners, to start from.
	Peers []string `yaml:"peers"`
	// KV tells where the key-value service is.
	KV KV `yaml:"kv"`
	// VMList tells where the platform's VM list is.
	VMList VMList `yaml:"vm_list"`
	// TLS gives certificates.
	TLS TLS `yaml:"tls"`
	// Operators lists who may use the operators' API.
	Operators []OperatorKey `yaml:"operators"`
	// ResumeSecrets lists secrets that sign resume tokens, the newest first.
	// All VMs of an environment share them. Older ones are still accepted.
	ResumeSecrets []string `yaml:"resume_secrets"`
	// Limits bounds what callers may ask of this VM.
	Limits Limits `yaml:"limits"`
	// Log says what is logged.
	Log telemetry.LogSettings `yaml:"log"`
	// Traces says where spans go.
	Traces telemetry.TraceSettings `yaml:"traces"`
}

// EntryListen gives the listeners of chestnut-entry, each "IP:port".
type EntryListen struct {
	// Callers serves the callers' API.
	Callers string `yaml:"callers"`
	// Operators serves the operators' API.
	Operators string `yaml:"operators"`
	// Peers serves the other VMs over gRPC.
	Peers string `yaml:"peers"`
	// Metrics serves /metrics. Empty means that there is no such listener.
	Metrics string `yaml:"metrics"`
}

// Advertise gives the addresses that others use to reach this VM. Each defaults to
// the address of the listener.
type Advertise struct {
	// Callers is "http://IP:port" or "https://IP:port".
	Callers string `yaml:"callers"`
	// Peers is "IP:port".
	Peers string `yaml:"peers"`
}

// KV configures the client of the key-value service.
type KV struct {
	// URLs lists the service's end points, "http://IP:port" or
	// "https://IP:port".
	URLs []string `yaml:"urls"`
	// Timeout bounds one call. The default is 2s.
	Timeout time.Duration `yaml:"timeout"`
}

// VMList configures the polling of the platform's VM list.
type VMList struct {
	// URL is "http://IP:port" or "https://IP:port". Empty means that there is
	// no list.
	URL string `yaml:"url"`
	// Interval is the time between two reads. The default is 2s.
	Interval time.Duration `yaml:"interval"`
}

// OperatorKey identifies an operator by the digest of a key.
type OperatorKey struct {
	// ID names the operator in logs and in the history.
	ID string `yaml:"id"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the key.
	SHA256 string `yaml:"sha256"`
}

// Limits bounds the requests of callers to one VM.
type Limits struct {
	// MaxBodyBytes bounds a request's body. The default is 8 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes bounds a request's headers. The default is 32 KiB.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// MaxInFlight bounds the requests that run or wait at once. The default is
	// 4096.
	MaxInFlight int `yaml:"max_in_flight"`
	// Connections bounds what connections of clients cost the process.
	Connections Connections `yaml:"connections"`
	// RequestTimeout bounds a request that names no deadline. The default is 2m.
	RequestTimeout time.Duration `yaml:"request_timeout"`
	// AddressLifetime is how long callers may keep an address answer, before
	// jitter. The default is 15s.
	AddressLifetime time.Duration `yaml:"address_lifetime"`
	// DrainTimeout bounds a graceful stop. The default is 5m.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
}

// Connections bounds what connections of clients cost a process.
type Connections struct {
	// Max bounds the open connections of callers, or of peers of a planner, and an eighth of it those of each other listener. When
	// there are more, connections without a complete request are closed, first those that have waited longest for one. The default
	// is 8192.
	Max int `yaml:"max"`
	// HeadMemory bounds the memory of the heads of requests together, in bytes. A line of a head counts 256 bytes, an item of a
	// list 64 and a byte 4; beyond the bound requests get 503. The default is 64 MiB.
	HeadMemory int64 `yaml:"head_memory"`
}

// Provision sets empty fields to their defaults.
func (s *Entry) Provision() {
	s.Log.Provision()
	s.Traces.Provision()
	s.KV.provision()
	setDefault(&s.VMList.Interval, DefaultVMListInterval)
	s.Limits.provision()
	if s.Advertise.Callers == "" && s.Listen.Callers != "" {
		s.Advertise.Callers = s.TLS.Callers.scheme() + "://" + s.Listen.Callers
	}
	if s.Advertise.Peers == "" {
		s.Advertise.Peers = s.Listen.Peers
	}
}

func (k *KV) provision() { setDefault(&k.Timeout, DefaultKVTimeout) }

func (l *Limits) provision() {
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxInFlight, DefaultMaxInFlight)
	l.Connections.provision()
	setDefault(&l.RequestTimeout, DefaultRequestTimeout)
	setDefault(&l.AddressLifetime, DefaultAddressLifetime)
	setDefault(&l.DrainTimeout, DefaultDrainTimeout)
}

func (c *Connections) provision() {
	setDefault(&c.Max, DefaultMaxConnections)
	setDefault(&c.HeadMemory, DefaultMaxHeadMemory)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
