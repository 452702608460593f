package configsync

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// Defaults of Options.
const (
	DefaultPollInterval        = 500 * time.Millisecond
	DefaultFleetPollsPerSecond = 200
	DefaultCallTimeout         = time.Second
	DefaultMaxBackoff          = 2 * time.Second
	// NoWatchPollFactor multiplies the poll interval of a VM without a watch.
	NoWatchPollFactor = 10
)

// Options configures a Syncer.
type Options struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment names the environment whose configuration is synchronized.
	Environment string
	// Clock reads the monotonic and the wall clock. The default is clock.System.
	Clock clock.Func
	// PollInterval is the time between two polls of the revision. A watch that
	// has stopped delivering is detected within two of them. The default is
	// 500ms.
	PollInterval time.Duration
	// FleetSize returns the number of VMs that poll the same service. The more
	// there are, the less often each of them polls, so that together they stay
	// below FleetPollsPerSecond. The default is one.
	FleetSize func() int
	// FleetPollsPerSecond is the poll rate of all VMs together, a tenth of the
	// reads per second that the platform provides. The default is 200.
	FleetPollsPerSecond int
	// Watches reports whether this VM keeps a watch open. In a large fleet only a
	// few VMs of each failure domain do; the others receive changes from their
	// peers and poll NoWatchPollFactor times less often. The default is always.
	Watches func() bool
	// CallTimeout is the time limit of one call. The default is 1s.
	CallTimeout time.Duration
	// MaxBackoff is the maximum pause between calls during an outage, and thus
	// bounds the delay until the end of the outage is detected. The default is 2s.
	MaxBackoff time.Duration
	// FreshFor is how long the VM accepts work after the last read of the service
	// that showed its configuration to be up to date. The default is
	// configstate.DefaultFreshFor.
	FreshFor time.Duration
	// HasPeerMajority reports whether this VM receives heartbeats from more than half
	// of the VMs of its last known fleet. While the service is down, the VM accepts
	// work as long as this is true. The default is never.
	HasPeerMajority func() bool
	// Sleep waits between two attempts to determine the outcome of a write, as in
	// kv.Attempt. The default uses real time.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Log receives one event per change and per fault.
	Log zerolog.Logger
	// Metrics receives the metrics config.*. The default is a new registry.
	Metrics metrics.Registry
}

func (o *Options) applyDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	if o.PollInterval <= 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.FleetSize == nil {
		o.FleetSize = func() int { return 1 }
	}
	if o.Watches == nil {
		o.Watches = func() bool { return true }
	}
	if o.FleetPollsPerSecond <= 0 {
		o.FleetPollsPerSecond = DefaultFleetPollsPerSecond
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = DefaultMaxBackoff
	}
	if o.FreshFor <= 0 {
		o.FreshFor = configstate.DefaultFreshFor
	}
	if o.HasPeerMajority == nil {
		o.HasPeerMajority = func() bool { return false }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
}
