package placement

import "github.com/chestnutarch/chestnutarch/internal/document"

// Name identifies what callers request: a base model if Adapter is empty,
// otherwise an adapter on that model. A name stays the same across versions.
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

// IsBase reports whether the item is a base model.
func (i Item) IsBase() bool {
	return i.Adapter == ""
}

// HeldItem is an item that is resident on an engine or may become resident there.
type HeldItem struct {
	Item Item
	// Memory is in bytes.
	Memory int64
	// Ready means that the copy serves requests.
	Ready bool
	// Unloading means that an order to unload the copy may take effect.
	Unloading bool
}

// Engine is one model engine as the planner sees it.
type Engine struct {
	// Name identifies the engine.
	Name string
	// FailureDomain is the failure domain that the engine is in.
	FailureDomain string
	// Capacity is the memory for weights in bytes: the engine's memory minus
	// its KV-cache reserve.
	Capacity int64
	// Available means that the engine responds and is not draining. Copies on
	// an engine that is not available do not count.
	Available bool
	// Uncertain means that the engine is not available but may become available
	// shortly. Its copies do not count, but no item gives up its second failure
	// domain to replace them yet.
	Uncertain bool
	// HeldItems lists every item that could be resident.
	HeldItems []HeldItem
}

// Options configures the placement policy. The zero value of a field selects
// its default.
type Options struct {
	// Hysteresis is how far the demand that a new copy would carry must exceed
	// the eviction cost of the copy that it replaces, as a fraction of that
	// cost. The eviction cost is the demand that each remaining copy would
	// carry. The default is 0.5.
	Hysteresis float64
	// MoveCost is the cost of one move, in the unit of demand. The demand that
	// a replacement would carry must exceed the eviction cost by this much, in
	// addition to Hysteresis. The default is 1.
	MoveCost float64
	// CopyTarget is the demand that one copy serves within its objectives. No
	// copy is added while the demand per copy is at or below it. The default is
	// 1.
	CopyTarget float64
	// MaxMoves bounds the copies that one plan adds for demand. The default is
	// 32, or a quarter of the number of engines if that is more.
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
	// Models are the models in the document.
	Models []document.Model
	// Engines are the engines in the document, with the items that each holds.
	Engines []Engine
	// Demand is the offered load by name in tokens per second. A name that is
	// missing has no demand.
	Demand map[Name]float64
	// Stable means that for some time every engine has been available and every
	// copy has been serving. Only then do other names give up their second
	// failure domain for a new version whose old version still serves. Before
	// that, memory may still become free by itself.
	Stable bool
	// Options configures the policy.
	Options Options
}

// Reason is why a copy is planned.
type Reason string

// The reasons for a copy.
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
	// Reason is why the copy is planned.
	Reason Reason `json:"reason"`
}

// Plan is what every engine should hold.
type Plan struct {
	// Assignments lists the copies, the most urgent first.
	Assignments []Assignment `json:"assignments"`
	// Unplaced lists names that have no copy because memory is short.
	Unplaced []Name `json:"unplaced,omitempty"`
	// OneDomain lists names with copies in a single failure domain only.
	OneDomain []Name `json:"one_domain,omitempty"`
	// Reduced lists names that give up copies, down to one, so that another
	// name gets its first copy.
	Reduced []Name `json:"reduced,omitempty"`
	// Moves is the number of planned copies that are not held yet.
	Moves int `json:"moves"`
}
