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
	DefaultPollInterval = 500 * time.Millisecond
	DefaultFleetPolls   = 200
	DefaultCallTimeout  = time.Second
	DefaultMaxBackoff   = 2 * time.Second
	// IdlePollFactor is how much less often a VM polls that keeps no watch.
	IdlePollFactor = 10
)

// Options configures a Keeper.
type Options struct {
	// Store is the key-value service.
	Store kv.Store
	// Environment names the configuration to keep.
	Environment string
	// Clock reads both clocks. The default is clock.System.
	Clock clock.Func
	// PollInterval is the time between two polls of the revision. A watch
	// that went silent is found within two of them. The default is 500ms.
	PollInterval time.Duration
	// FleetSize returns the number of VMs that poll the same service. Each polls
	// less often as they become more, so that together they stay below
	// FleetPolls a second. The default is one.
	FleetSize func() int
	// FleetPolls is the number of polls a second of all VMs together, a tenth
	// of the reads that the platform gives. The default is 200.
	FleetPolls int
	// Watches reports whether this VM keeps a watch open. In a large fleet a
	// few do in each failure domain, and the others have changes from their
	// peers and poll IdlePollFactor times less often. The default is always.
	Watches func() bool
	// CallTimeout bounds one call. The default is 1s.
	CallTimeout time.Duration
	// MaxBackoff bounds the pause between calls during an outage, and with it
	// how soon the end of the outage is noticed. The default is 2s.
	MaxBackoff time.Duration
	// FreshFor is how long the VM takes work after it last heard the service.
	// The default is configstate.DefaultFreshFor.
	FreshFor time.Duration
	// HearsPeers reports whether this VM hears more than half of the VMs that
	// it last knew. With the service down, work goes on as long as it does. The
	// default is never.
	HearsPeers func() bool
	// Sleep waits between two looks at a write whose outcome is unknown, as in
	// kv.Attempt. The default waits for real.
	Sleep func(ctx context.Context, d time.Duration) bool
	// Log receives one event per change and per fault.
	Log zerolog.Logger
	// Metrics receives the counters config.*. The default is a registry of
	// its own.
	Metrics metrics.Registry
}

func (o *Options) provision() {
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
	if o.FleetPolls <= 0 {
		o.FleetPolls = DefaultFleetPolls
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
	if o.HearsPeers == nil {
		o.HearsPeers = func() bool { return false }
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
}
