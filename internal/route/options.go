package route

import "time"

// Policy says how the candidates for a request are ordered. The policies other
// than PolicyPrefix are what it is measured against.
type Policy int

// The policies.
const (
	// PolicyPrefix prefers the engines that have seen the prompt's prefix.
	PolicyPrefix Policy = iota
	// PolicyLeastLoad takes the engine with the least load.
	PolicyLeastLoad
	// PolicyRoundRobin takes the engines in turn.
	PolicyRoundRobin
)

// Options configures a Router. The zero value takes every default.
type Options struct {
	// Policy orders the candidates. The default is PolicyPrefix.
	Policy Policy
	// Affinity is the number of engines in the order of a prefix's hash that
	// are tried before load alone decides. The default is 2.
	Affinity int
	// LoadFactor bounds the load of an engine that is taken for its prefix
	// cache, as a multiple of the mean of all that serve the item. The default
	// is 2: a tighter bound sends texts to engines that do not have them, which
	// makes every engine slower, and more texts then go astray.
	LoadFactor float64
	// FreeLoad is the load up to which an engine's batch takes one more at hardly
	// any cost, so that a prefix stays with its engine whatever the mean is. The
	// default is 8.
	FreeLoad float64
	// MaxInFlight is the number of requests in flight over all VMs beyond which
	// an engine gets no more. The default is 64.
	MaxInFlight int
	// MaxWaiting is the number of requests in an engine's own queue beyond which
	// it gets no more, so that requests wait here, where shares and deadlines
	// are kept. The default is 2.
	MaxWaiting int
	// ReportLag is how much older than its arrival a load report may be. The
	// default is 500ms.
	ReportLag time.Duration
	// EjectAfter is the number of failures in a row that eject an engine. The
	// default is 3.
	EjectAfter int
	// EjectFor is how long an engine stays out for the first time. Each further
	// ejection without a success between doubles it, up to maxEjectDoublings
	// times. The default is 2s.
	EjectFor time.Duration
	// MaxEjected is the largest share of the engines that may be out at once,
	// from 0 to 1. The default is 0.34.
	MaxEjected float64
}

// The defaults of Options.
const (
	DefaultAffinity    = 2
	DefaultLoadFactor  = 2
	DefaultFreeLoad    = 8
	DefaultMaxInFlight = 64
	DefaultMaxWaiting  = 2
	DefaultReportLag   = 500 * time.Millisecond
	DefaultEjectAfter  = 3
	DefaultEjectFor    = 2 * time.Second
	DefaultMaxEjected  = 0.34
)

// maxEjectDoublings bounds the time that an engine stays out to 32 times
// EjectFor.
const maxEjectDoublings = 5

func (o Options) withDefaults() Options {
	if o.Affinity == 0 {
		o.Affinity = DefaultAffinity
	}
	if o.LoadFactor == 0 {
		o.LoadFactor = DefaultLoadFactor
	}
	if o.FreeLoad == 0 {
		o.FreeLoad = DefaultFreeLoad
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
