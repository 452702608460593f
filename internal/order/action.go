package order

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Action is something that the Book's owner has to carry out.
type Action interface{ action() }

// Read asks for a key's value. Its result goes to Book.ReadDone.
type Read struct {
	Key string
}

// Write asks for a compare-and-swap. Its result goes to Book.Written.
type Write struct {
	Key      string
	Expected int64
	Value    []byte
}

// Poll asks for an engine's load report. Its result goes to Book.Reported.
type Poll struct {
	Engine string
	// Revision is the revision of the engine's account when the poll began.
	Revision int64
	// Began is when the poll began.
	Began time.Time
}

// Send asks for an order to be sent, to this incarnation only. Its result goes
// to Book.Answered or Book.Unanswered.
type Send struct {
	Engine      string
	Incarnation string
	Order       Order
}

func (Read) action()  {}
func (Write) action() {}
func (Poll) action()  {}
func (Send) action()  {}

// Kind says what an order asks for.
type Kind int

// The kinds of order that the Book sends.
const (
	Load Kind = iota
	Unload
)

// Order is one order to an engine.
type Order struct {
	// ID is the same in every repeat and never used for another order.
	ID string
	// Fence is the sending leader's fencing number.
	Fence int64
	Kind  Kind
	Item  placement.Item
	// Memory is in bytes.
	Memory int64
}

// WriteOutcome says what is known of a write.
type WriteOutcome int

// The outcomes of a write, as the key-value package has them.
const (
	OutcomeUnknown WriteOutcome = iota
	TookEffect
	DidNot
)

// Stored is a key's value as read. An absent key has revision 0.
type Stored struct {
	Revision int64
	Value    []byte
}

// Report is what the Book needs of an engine's load report.
type Report struct {
	Incarnation string
	Draining    bool
	// Resident lists what occupies memory, with what is ready to serve.
	Resident []ReportItem
	// MemoryUsed is the memory of all resident items in bytes.
	MemoryUsed int64
}

// ReportItem is one resident item.
type ReportItem struct {
	Item  placement.Item
	Ready bool
}

// EngineSpec is what the document says of an engine.
type EngineSpec struct {
	Name          string
	FailureDomain string
	// Capacity is the memory for weights in bytes.
	Capacity int64
	// Planned means that the plan knew what the engine holds. What an engine
	// holds that was out of hearing is not unwanted, it was not looked at.
	Planned bool
}

// Options tunes a Book. The zero value of a field selects its default.
type Options struct {
	// Prefix is the start of the planner's keys, ending in a slash.
	Prefix string
	// Fence is the leader's fencing number.
	Fence int64
	// LoadsPerSecond is the number of loads that may start in a second.
	LoadsPerSecond float64
	// ConcurrentLoads is the number of loads that may run at once.
	ConcurrentLoads int
	// RepeatAfter is the time until an order without a definite answer is
	// repeated. The default is 500ms.
	RepeatAfter time.Duration
	// PollEvery is the time between load reports. The default is 1s.
	PollEvery time.Duration
	// ReportFresh is how long a report stands for the present. The default
	// is 3s.
	ReportFresh time.Duration
	// AbsentAfter is how long after its last report an engine still counts as
	// there when copies are planned. The default is 5s.
	AbsentAfter time.Duration
	// ReduceAfter is how long an engine must be silent until other names give
	// up their second failure domain for what it alone held, and how long
	// nothing must have moved until they do for a new version. The default
	// is 30s.
	ReduceAfter time.Duration
	// MissingAfter is how long a copy may be missing from reports, which lag,
	// before it is unloaded for certain and loaded anew. The default is 10s.
	MissingAfter time.Duration
	// RetryFailed is the time until an item whose load or unload failed is
	// ordered anew. The default is 5s.
	RetryFailed time.Duration
	// LoadTimeout is the longest that a load can take. A load order on an
	// engine that has not answered for this long no longer counts against the
	// weight store; it still counts against the engine's memory. The default
	// is 5m.
	LoadTimeout time.Duration
	// RemovalGrace is the time between a name's leaving the document and the
	// unloading of its copies, in which every entry VM learns of it. The
	// default is 10s.
	RemovalGrace time.Duration
}

// Defaults of Options.
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

// Goal is what the Book works towards.
type Goal struct {
	// Engines are the document's.
	Engines []EngineSpec
	// Versions gives the document's version of every name.
	Versions map[placement.Name]string
	// Memory gives the memory of every item in the document, in bytes.
	Memory map[placement.Item]int64
	// Assignments are the wanted copies, the most urgent first.
	Assignments []placement.Assignment
	// Reduced lists the names whose second failure domain is given up.
	Reduced []placement.Name
}

// SetPlan takes over a plan and the view that it was made from.
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
