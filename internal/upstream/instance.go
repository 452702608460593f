package upstream

import (
	"slices"
	"strconv"
	"time"
)

// LoadedModel is a model that an engine holds, with its adapters.
type LoadedModel struct {
	Model    string
	Version  int64
	Adapters []string
}

// Instance describes one incarnation of an upstream, as published by the upstream.
type Instance struct {
	// ID identifies the instance. An instance that restarts may keep its ID.
	ID string
	// Incarnation distinguishes incarnations with the same ID: milliseconds since 1970.
	// Zero means that the instance does not publish it.
	Incarnation   int64
	Service       string
	Address       string
	FailureDomain string
	// Region is the region of the failure domain.
	Region string
	// SoftwareVersion is the version of the software that the incarnation runs, empty if it publishes none. Streams of
	// different versions do not fit together.
	SoftwareVersion string
	// Slots is the number of requests that the instance runs at once.
	Slots int
	// Draining instances accept no new requests.
	Draining bool
	// DrainTimeLeft is the longest time that a draining instance has left, counted from
	// when it published this. Zero means that it publishes none.
	DrainTimeLeft time.Duration
	// ColdFor is how long the instance remains cold, counted from when it published this.
	// ColdUntil is the same as a time, counted from when this VM received it.
	ColdFor   time.Duration
	ColdUntil time.Time
	// EvacuateBy is set if the instance's failure domain is being evacuated: from then on the
	// instance must get no requests, and before it only those that no other instance can take.
	EvacuateBy time.Time
	// ReturnedAt is when this VM learned that the evacuation of the instance's failure domain
	// had ended, zero if it was not evacuated lately.
	ReturnedAt time.Time
	// Models lists the models that an engine holds.
	Models []LoadedModel
	// OrdersAccepted is the number of load and unload orders that this incarnation has
	// accepted.
	OrdersAccepted int64
}

// RateLimit is what an answer of an upstream says about the requests that it takes from all VMs together.
type RateLimit struct {
	// Named reports whether the answer names a limit.
	Named bool
	// PerSecond is the number of requests per second that the upstream takes from all VMs together.
	PerSecond float64
	// Brittle means that the upstream falls over if it has to reject more than MaxRejections requests in a second for want
	// of room.
	Brittle       bool
	MaxRejections int
	// RateUnknown and BrittleUnknown mean that the answer does not show whether the upstream still names a rate, or is still
	// brittle, if it does not say so.
	RateUnknown, BrittleUnknown bool
}

// Pushback is what an answer of an upstream says about the requests that it takes from now on.
type Pushback struct {
	// Leaving means that the upstream leaves, and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the upstream wants no requests from this VM, zero if it names none.
	RetryAfter time.Duration
}

// SameIncarnation reports whether two descriptions belong to the same incarnation.
func (i *Instance) SameIncarnation(other *Instance) bool {
	return i.ID == other.ID && i.Incarnation == other.Incarnation && i.Address == other.Address
}

// IncarnationID returns a text that identifies the incarnation: "ID@incarnation@address".
func (i *Instance) IncarnationID() string {
	return i.ID + "@" + strconv.FormatInt(i.Incarnation, 10) + "@" + i.Address
}

// Evacuated reports whether the instance's failure domain is being evacuated.
func (i *Instance) Evacuated() bool { return !i.EvacuateBy.IsZero() }

// HoldsModel reports whether an engine holds a model.
func (i *Instance) HoldsModel(model string) bool {
	for _, l := range i.Models {
		if l.Model == model {
			return true
		}
	}
	return false
}

// SameContents reports whether two descriptions have the same models and adapters and the same
// number of accepted orders.
func (i *Instance) SameContents(other *Instance) bool {
	return i.OrdersAccepted == other.OrdersAccepted && slices.EqualFunc(i.Models, other.Models, LoadedModel.equal)
}

func (l LoadedModel) equal(other LoadedModel) bool {
	return l.Model == other.Model && l.Version == other.Version && slices.Equal(l.Adapters, other.Adapters)
}
