package membership

import (
	"maps"
	"time"
)

// Node is one VM's report about itself.
type Node struct {
	// VM is the VM's ID from its settings.
	VM string
	// Incarnation increases with every start of the process on this VM.
	Incarnation uint64
	// Sequence increases with every report of an incarnation, so that a delayed or
	// relayed report never replaces a newer one.
	Sequence uint64
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// CallerURL is the base URL for callers, with scheme.
	CallerURL string
	// PeerAddress is the address for peers, "IP:port".
	PeerAddress string
	// ConfigVersion is the configuration version in force at the VM.
	ConfigVersion int64
	// Withdrawn is the number of withdrawn keys stored at the VM. WithdrawnSum
	// differs between VMs that have different sets of them.
	Withdrawn    int64
	WithdrawnSum uint64
	// Leaving means that the VM is shutting down and accepts no new callers.
	Leaving bool
	// Ready means that the VM is ready for callers.
	Ready bool
	// InFlight is the number of requests in flight.
	InFlight int64
	// ServedTokens counts the tokens served by team since the process started.
	ServedTokens map[string]int64
	// QuotaIncarnation is the incarnation in the VM's quota record. It also increases
	// when other VMs have closed the record of a process that was partitioned from
	// them for long.
	QuotaIncarnation uint64
	// Silent marks a relayed report of a VM whose partners have received no newer
	// report of it for GoneAfter. It is never set by the VM itself.
	Silent bool
}

// newerThan reports whether n is a newer report of the same VM than old.
func (n *Node) newerThan(old *Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Sequence > old.Sequence
}

// clone returns a copy of the node and its map, so that a published view stays
// immutable.
func (n *Node) clone() Node {
	c := *n
	c.ServedTokens = maps.Clone(n.ServedTokens)
	return c
}

// Status is the local VM's assessment of another VM.
type Status int

// The statuses of a VM. A VM whose reports arrive is alive, which String returns as
// "heard". When reports stop, it becomes suspected and then gone.
const (
	Alive Status = iota
	Suspected
	Gone
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "heard"
	case Suspected:
		return "suspected"
	default:
		return "gone"
	}
}

// Member is the newest report of another VM with its status at the local VM.
type Member struct {
	Node
	// Status is the VM's status: alive, suspected or gone.
	Status Status
	// Partner means that heartbeats are exchanged with this VM directly.
	Partner bool
	// LastReportAt is when its newest report arrived, directly or relayed.
	LastReportAt time.Time
}
