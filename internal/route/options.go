package route

import "time"

// Policy is the rule by which the candidates for a request are ordered. The
// policies other than PolicyPrefix are baselines for measurements.
type Policy int

// The routing policies.
const (
	// PolicyPrefix prefers the engines to which the prompt's prefix hashes, which
	// are those likely to have it cached.
	PolicyPrefix Policy = iota
	// PolicyLeastLoad selects the engine with the least load.
	PolicyLeastLoad
	// PolicyRoundRobin selects the engines in turn.
	PolicyRoundRobin
)

// Options configures a Router. Zero fields take their defaults.
type Options struct {
	// Policy orders the candidates. The default is PolicyPrefix.
	Policy Policy
	// Affinity is the number of engines, in the rendezvous order of a prefix, that
	// are tried before load alone decides. The default is 2.
	Affinity int
	// LoadFactor bounds the load of an engine that is selected for its prefix
	// cache, as a multiple of the mean load of the candidates with capacity. The
	// default is 2: a tighter bound sends prompts to engines that do not have them
	// cached, which slows every engine down and diverts still more prompts.
	LoadFactor float64
	// MinLoadBound is the smallest value of the bound set by LoadFactor. Up to this
	// load, one more request in an engine's batch costs hardly anything, so a
	// prefix stays with its engine whatever the mean load is. The default is 8.
	MinLoadBound float64
	// MaxInFlight is the number of requests in flight over all VMs at which an
	// engine receives no more. The default is 64.
	MaxInFlight int
	// MaxWaiting is the number of requests in an engine's own queue beyond which
	// it receives no more, so that requests wait in this process, which enforces
	// team shares and deadlines. The default is 2.
	MaxWaiting int
	// ReportLag is the maximum age of a load report when it arrives. The default
	// is 500ms.
	ReportLag time.Duration
	// EjectAfter is the number of consecutive failures that eject an engine. The
	// default is 3.
	EjectAfter int
	// EjectFor is the duration of an engine's first ejection. Each further ejection
	// without a success in between doubles it, up to maxEjectDoublings times. The
	// default is 2s.
	EjectFor time.Duration
	// MaxEjected is the largest fraction of the engines that may be ejected at
	// once, from 0 to 1. The default is 0.34.
	MaxEjected float64
}

// Default values of Options.
const (
	DefaultAffinity     = 2
	DefaultLoadFactor   = 2
	DefaultMinLoadBound = 8
	DefaultMaxInFlight  = 64
	DefaultMaxWaiting   = 2
	DefaultReportLag    = 500 * time.Millisecond
	DefaultEjectAfter   = 3
	DefaultEjectFor     = 2 * time.Second
	DefaultMaxEjected   = 0.34
)

// maxEjectDoublings limits an ejection to 32 times EjectFor.
const maxEjectDoublings = 5

func (o Options) withDefaults() Options {
	if o.Affinity == 0 {
		o.Affinity = DefaultAffinity
	}
	if o.LoadFactor == 0 {
		o.LoadFactor = DefaultLoadFactor
	}
	if o.MinLoadBound == 0 {
		o.MinLoadBound = DefaultMinLoadBound
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.ReportLag == 0 {
		o.ReportLag = DefaultReportLag
	}
	if o.EjectAfter == 0 {
		o.EjectAfter = DefaultEjectAfter
	}
	if o.EjectFor == 0 {
		o.EjectFor = DefaultEjectFor
	}
	if o.MaxEjected == 0 {
		o.MaxEjected = DefaultMaxEjected
	}
	return o
}
