package upstream

import (
	"slices"
	"time"
)

// Loaded is a model that an engine holds.
type Loaded struct {
	Model    string
	Version  int64
	Adapters []string
}

// Instance is one incarnation of an upstream, as it describes itself.
type Instance struct {
	// ID names the instance. An instance that starts again may keep its ID.
	ID string
	// Born tells incarnations with the same ID apart: milliseconds since 1970.
	// Zero means that the instance does not say.
	Born          int64
	Service       string
	Address       string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining instances take no new work.
	Draining bool
	// LeavesIn is how long a draining instance has left at most when it said so.
	// Zero means that it does not say.
	LeavesIn time.Duration
	// Models is what an engine holds.
	Models []Loaded
	// InMemory and OnDisk name the models whose weights an engine can load
	// without the weight store.
	InMemory, OnDisk []string
	// OrdersAccepted is the number of orders that this incarnation has accepted.
	OrdersAccepted int64
}

// Same reports whether two descriptions are of one incarnation.
func (i *Instance) Same(other *Instance) bool {
	return i.ID == other.ID && i.Born == other.Born && i.Address == other.Address
}

// Holds reports whether an engine holds a model.
func (i *Instance) Holds(model string) bool {
	for _, l := range i.Models {
		if l.Model == model {
			return true
		}
	}
	return false
}

// HoldsSame reports whether two descriptions name the same models and adapters after the
// same number of orders.
func (i *Instance) HoldsSame(other *Instance) bool {
	return i.OrdersAccepted == other.OrdersAccepted && slices.EqualFunc(i.Models, other.Models, Loaded.same)
}

func (l Loaded) same(other Loaded) bool {
	return l.Model == other.Model && l.Version == other.Version && slices.Equal(l.Adapters, other.Adapters)
}
