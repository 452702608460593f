package order

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Action is a step that the caller of Next has to execute.
type Action interface{ action() }

// Read requests a key's value. Its result must be passed to ReadDone.
type Read struct {
	Key string
}

// Write requests a compare-and-swap. Its result must be passed to WriteDone.
type Write struct {
	Key      string
	Expected int64
	Value    []byte
}

// Poll requests an engine's load report. Its result must be passed to Reported.
type Poll struct {
	Engine string
	// Revision is the revision of the engine's account when the poll began.
	Revision int64
	Began    time.Time
}

// Send requests that an order be sent, to this incarnation of the engine only. Its
// result must be passed to Answered or Unanswered.
type Send struct {
	Engine      string
	Incarnation string
	Order       Order
}

func (Read) action()  {}
func (Write) action() {}
func (Poll) action()  {}
func (Send) action()  {}

// Kind is the type of an order.
type Kind int

// The kinds of order.
const (
	Load Kind = iota
	Unload
)

// Order is one order to an engine.
type Order struct {
	// ID is the same in every repeat of the order and never used for another order.
	ID string
	// Fence is the sending leader's fencing token.
	Fence int64
	Kind  Kind
	Item  placement.Item
	// Memory is the item's memory in bytes.
	Memory int64
}

// WriteOutcome is the known result of a write.
type WriteOutcome int

// The outcomes of a write, as in the key-value client package. A write whose outcome is
// OutcomeUnknown may still take effect later.
const (
	OutcomeUnknown WriteOutcome = iota
	TookEffect
	NoEffect
)

// Stored is a key's value and revision as read. A key that does not exist has revision 0.
type Stored struct {
	Revision int64
	Value    []byte
}

// Report holds the parts of an engine's load report that this package uses.
type Report struct {
	Incarnation string
	Draining    bool
	// Resident lists the items that occupy memory, and whether each is ready to serve.
	Resident []ReportItem
	// MemoryUsed is the memory of all resident items in bytes.
	MemoryUsed int64
}

// ReportItem is a resident item of a Report.
type ReportItem struct {
	Item  placement.Item
	Ready bool
}

// EngineSpec is the document's specification of an engine.
type EngineSpec struct {
	Name          string
	FailureDomain string
	// Capacity is the memory for weights in bytes.
	Capacity int64
	// Planned means that the engine was available when the plan was made. Items on
	// an engine that was not available are not treated as unwanted, because the plan
	// did not consider them.
	Planned bool
}

// Options configures a new leader's state. The zero value of a field selects its default.
type Options struct {
	// Prefix is the prefix of the planner's keys, ending in a slash.
	Prefix string
	// Fence is the leader's fencing token.
	Fence int64
	// LoadsPerSecond is the number of loads that may start per second. The default
	// is 1.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of loads that may run at once. The default is 1.
	ConcurrentLoads int
	// RepeatAfter is the time until an order without a definite answer is
	// repeated. The default is 500ms.
	RepeatAfter time.Duration
	// PollEvery is the time between two polls of an engine's load report. The
	// default is 1s.
	PollEvery time.Duration
	// ReportFresh is the age up to which a report counts as current. The default
	// is 3s.
	ReportFresh time.Duration
	// AbsentAfter is how long after its last report an engine still counts as
	// available for placement. The default is 5s.
	AbsentAfter time.Duration
	// ReduceAfter is how long an engine must have sent no report before other names
	// give up their second failure domain to make room for what only that engine
	// held, and how long nothing must have changed before they do so for a new
	// version. The default is 30s.
	ReduceAfter time.Duration
	// MissingAfter is how long a copy may be missing from reports, which lag behind
	// the engine, before it is unloaded, to be certain that it is gone, and loaded
	// again. The default is 10s.
	MissingAfter time.Duration
	// RetryFailed is the time after a failed load or unload of an item until the
	// next order for it. The default is 5s.
	RetryFailed time.Duration
	// LoadTimeout is the longest that a load can take. A load order on an engine
	// that has not answered for this long no longer counts towards the weight
	// store's limits; it still counts towards the engine's memory. The default
	// is 5m.
	LoadTimeout time.Duration
	// RemovalGrace is the time between the removal of a name from the document and
	// the unloading of its copies, in which the removal reaches every entry VM. The
	// default is 10s.
	RemovalGrace time.Duration
}

// The defaults of Options.
const (
	DefaultRepeatAfter  = 500 * time.Millisecond
	DefaultPollEvery    = time.Second
	DefaultReportFresh  = 3 * time.Second
	DefaultAbsentAfter  = 5 * time.Second
	DefaultReduceAfter  = 30 * time.Second
	DefaultMissingAfter = 10 * time.Second
	DefaultRetryFailed  = 5 * time.Second
	DefaultLoadTimeout  = 5 * time.Minute
	DefaultRemovalGrace = 10 * time.Second
)

func (o Options) withDefaults() Options {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.RepeatAfter, DefaultRepeatAfter},
		{&o.PollEvery, DefaultPollEvery},
		{&o.ReportFresh, DefaultReportFresh},
		{&o.AbsentAfter, DefaultAbsentAfter},
		{&o.ReduceAfter, DefaultReduceAfter},
		{&o.MissingAfter, DefaultMissingAfter},
		{&o.RetryFailed, DefaultRetryFailed},
		{&o.LoadTimeout, DefaultLoadTimeout},
		{&o.RemovalGrace, DefaultRemovalGrace},
	} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	return o
}

// Goal is the desired state of the engines.
type Goal struct {
	// Engines are the engines in the document.
	Engines []EngineSpec
	// Versions holds the document's version of every name.
	Versions map[placement.Name]string
	// Memory holds the memory of every item in the document, in bytes.
	Memory map[placement.Item]int64
	// Assignments are the wanted copies, most urgent first.
	Assignments []placement.Assignment
	// Reduced lists the names that give up their second failure domain.
	Reduced []placement.Name
}

// SetPlan sets the assignments of a plan. View must be the view that the plan was made
// from; it determines which engines are Planned.
func (g *Goal) SetPlan(p placement.Plan, view []placement.Engine) {
	g.Assignments = p.Assignments
	g.Reduced = p.Reduced
	available := make(map[string]bool, len(view))
	for _, e := range view {
		available[e.Name] = e.Available
	}
	for i := range g.Engines {
		g.Engines[i].Planned = available[g.Engines[i].Name]
	}
}
