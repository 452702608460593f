package placement

import "github.com/chestnutarch/chestnutarch/internal/document"

// Name is what callers ask for: a base model if Adapter is empty, else an
// adapter on that model. A name keeps its meaning over versions.
type Name struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
}

// Item is one version of a name: the unit that is loaded and unloaded.
type Item struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
}

// String returns "MODEL" or "MODEL/ADAPTER".
func (i Item) String() string {
	if i.Adapter == "" {
		return i.Model
	}
	return i.Model + "/" + i.Adapter
}

// Name returns the item's name without its version.
func (i Item) Name() Name {
	return Name{Model: i.Model, Adapter: i.Adapter}
}

// IsBase says whether the item is a base model.
func (i Item) IsBase() bool {
	return i.Adapter == ""
}

// Held is an item that an engine holds or may come to hold.
type Held struct {
	Item Item
	// Memory is in bytes.
	Memory int64
	// Ready means that the copy serves requests.
	Ready bool
	// Leaving means that an order to unload the copy may take effect.
	Leaving bool
}

// Engine is one model engine as the planner sees it.
type Engine struct {
	// Name identifies the engine.
	Name string
	// FailureDomain is where it stands.
	FailureDomain string
	// Capacity is the memory for weights in bytes: the engine's memory less
	// its KV-cache reserve.
	Capacity int64
	// Available means that the engine answers and is not draining. Copies on
	// an engine that is not available do not count.
	Available bool
	// Uncertain means that the engine is not available but may be in a moment:
	// its copies do not count, but nothing is given up for them yet.
	Uncertain bool
	// Holds lists every item that could be resident.
	Holds []Held
}

// Options tunes the policy. The zero value of a field selects its default.
type Options struct {
	// Hysteresis is by how much more an item must be worth than the copy it
	// replaces, as a share of that copy's worth. The default is 0.5.
	Hysteresis float64
	// MoveCost is what one move costs, in the unit of demand. A copy is
	// replaced only for one that is worth this much more. The default is 1.
	MoveCost float64
	// CopyTarget is the demand that one copy serves within its objectives. No
	// copy is added for demand below it. The default is 1.
	CopyTarget float64
	// MaxMoves bounds the copies that one plan adds for demand. The default
	// is 32 and at least a quarter of the engines.
	MaxMoves int
}

// Defaults of Options.
const (
	DefaultHysteresis = 0.5
	DefaultMoveCost   = 1
	DefaultCopyTarget = 1
	DefaultMaxMoves   = 32
)

// Input is everything that a plan depends on.
type Input struct {
	// Models are the document's.
	Models []document.Model
	// Engines are the document's, with what they hold.
	Engines []Engine
	// Demand is the offered load by name in tokens per second. A name that is
	// missing has no demand.
	Demand map[Name]float64
	// Quiet means that for some time every engine was there and every copy
	// served. Only then other names give up a second failure domain for a new
	// version whose old one serves: before, room may still come by itself.
	Quiet bool
	// Options tunes the policy.
	Options Options
}

// Reason says why a copy is wanted.
type Reason string

// The reasons, the most urgent first.
const (
	ReasonFirstCopy    Reason = "first copy"
	ReasonSecondDomain Reason = "second failure domain"
	ReasonReplicas     Reason = "replicas in the document"
	ReasonDemand       Reason = "demand"
	ReasonRelocation   Reason = "makes room"
	ReasonStays        Reason = "stays"
)

// Assignment is a copy that an engine should hold.
type Assignment struct {
	Engine string `json:"engine"`
	Item   Item   `json:"item"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Reason says why.
	Reason Reason `json:"reason"`
}

// Plan is what every engine should hold.
type Plan struct {
	// Assignments lists the copies, the most urgent first.
	Assignments []Assignment `json:"assignments"`
	// Unplaced lists names without any copy for want of memory.
	Unplaced []Name `json:"unplaced,omitempty"`
	// OneDomain lists names with copies in a single failure domain only.
	OneDomain []Name `json:"one_domain,omitempty"`
	// Reduced lists names that give up copies, down to one, so that another
	// name gets its first.
	Reduced []Name `json:"reduced,omitempty"`
	// Moves is the number of copies that are not held yet.
	Moves int `json:"moves"`
}
