package planner

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/order"
	"github.com/chestnutarch/chestnutarch/internal/placement"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// ErrOptions means that an option is missing or out of range.
var ErrOptions = errors.New("planner: bad options")

// Options configures a Planner.
type Options struct {
	// Environment names the environment, for example "gt-production".
	Environment string
	// VM is this VM's name. It is written to the leader key, where operators
	// can read it.
	VM string
	// URL is the address at which this planner's Handler is served,
	// "http://IP:port". It is written to the leader key, so that entry VMs find
	// the leader.
	URL string
	// Store is the key-value service.
	Store kv.Store
	// Config returns the configuration in force, or nil while there is none.
	Config func() *configstate.Snapshot
	// Clock reads both clocks. The default is clock.System.
	Clock clock.Func
	// LeaseTTL is how long the lease outlasts a leader that has died. The
	// default is 10s.
	LeaseTTL time.Duration
	// StepInterval is the longest time between two decisions. The default is
	// 100ms.
	StepInterval time.Duration
	// PlanInterval is the time between two plans. The default is 1s.
	PlanInterval time.Duration
	// OrderTimeout bounds one call to an engine. The default is 2s.
	OrderTimeout time.Duration
	// TLS is used for engines with an https address. Nil uses the certificate
	// authorities of the machine.
	TLS transport.TLS
	// Placement configures the placement policy.
	Placement placement.Options
	// Demand configures the estimate of the offered load.
	Demand demand.Options
	// Order configures how orders are sent. Its Prefix, Fence and budget are
	// set by the planner.
	Order order.Options
	// Log receives one event per order, change of leadership and fault.
	Log zerolog.Logger
	// Metrics receives the gauges and counters planner.*. The default is a
	// registry of its own.
	Metrics metrics.Registry
}

// Defaults of Options.
const (
	DefaultLeaseTTL     = 10 * time.Second
	DefaultStepInterval = 100 * time.Millisecond
	DefaultPlanInterval = time.Second
	DefaultOrderTimeout = 2 * time.Second
)

// Validate checks the options that have no default, and that no duration is
// negative. Errors wrap ErrOptions.
func (o Options) Validate() error {
	switch {
	case o.Environment == "":
		return errors.Wrap(ErrOptions, "Environment is not set")
	case o.VM == "":
		return errors.Wrap(ErrOptions, "VM is not set")
	case o.Store == nil:
		return errors.Wrap(ErrOptions, "Store is not set")
	case o.Config == nil:
		return errors.Wrap(ErrOptions, "Config is not set")
	case o.LeaseTTL < 0 || o.StepInterval < 0 || o.PlanInterval < 0 || o.OrderTimeout < 0:
		return errors.Wrap(ErrOptions, "LeaseTTL, StepInterval, PlanInterval and OrderTimeout must not be negative")
	}
	return nil
}

func (o *Options) applyDefaults() {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = DefaultLeaseTTL
	}
	if o.StepInterval == 0 {
		o.StepInterval = DefaultStepInterval
	}
	if o.PlanInterval == 0 {
		o.PlanInterval = DefaultPlanInterval
	}
	if o.OrderTimeout == 0 {
		o.OrderTimeout = DefaultOrderTimeout
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
}

// prefix returns the prefix of the planner's keys.
func (o Options) prefix() string {
	return "/chestnut/" + o.Environment + "/planner/"
}
