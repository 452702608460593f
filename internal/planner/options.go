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
	// VM is this VM's name. It is written to the leader key for operators.
	VM string
	// URL is where this planner's Handler is served, "http://IP:port". It is
	// written to the leader key, so that entry VMs find the leader.
	URL string
	// Store is the key-value service.
	Store kv.Store
	// Config returns the configuration in force, or nil while none is known.
	Config func() *configstate.Snapshot
	// Clock reads both clocks. The default is clock.System.
	Clock clock.Func
	// LeaseTTL is how long leadership outlasts a leader that died. The default
	// is 10s.
	LeaseTTL time.Duration
	// StepEvery is the longest time between two decisions. The default is 100ms.
	StepEvery time.Duration
	// PlanEvery is the time between two plans. The default is 1s.
	PlanEvery time.Duration
	// OrderTimeout bounds one exchange with an engine. The default is 2s.
	OrderTimeout time.Duration
	// TLS is used for engines with an https address. Nil takes the machine's
	// authorities.
	TLS transport.TLS
	// Placement tunes the policy.
	Placement placement.Options
	// Demand tunes the estimate of what callers ask for.
	Demand demand.Options
	// Order tunes the sending of orders. Its Prefix, Fence and budget are set
	// by the planner.
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
	DefaultStepEvery    = 100 * time.Millisecond
	DefaultPlanEvery    = time.Second
	DefaultOrderTimeout = 2 * time.Second
)

// Validate checks what has no default. Errors wrap ErrOptions.
func (o Options) Validate() error {
	switch {
	case o.Environment == "":
		return errors.Wrap(ErrOptions, "no environment")
	case o.VM == "":
		return errors.Wrap(ErrOptions, "no VM name")
	case o.Store == nil:
		return errors.Wrap(ErrOptions, "no key-value service")
	case o.Config == nil:
		return errors.Wrap(ErrOptions, "no configuration")
	case o.LeaseTTL < 0 || o.StepEvery < 0 || o.PlanEvery < 0 || o.OrderTimeout < 0:
		return errors.Wrap(ErrOptions, "negative duration")
	}
	return nil
}

func (o *Options) provision() {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = DefaultLeaseTTL
	}
	if o.StepEvery == 0 {
		o.StepEvery = DefaultStepEvery
	}
	if o.PlanEvery == 0 {
		o.PlanEvery = DefaultPlanEvery
	}
	if o.OrderTimeout == 0 {
		o.OrderTimeout = DefaultOrderTimeout
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
}

// prefix is the start of the planner's keys.
func (o Options) prefix() string {
	return "/chestnut/" + o.Environment + "/planner/"
}
