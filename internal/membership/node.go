package membership

import (
	"maps"
	"time"
)

// Node is one VM's report about itself.
type Node struct {
	// VM is the VM's ID from its settings.
	VM string
	// Incarnation grows with every start of the process on this VM.
	Incarnation uint64
	// Sequence grows with every report of an incarnation, so that a report that
	// was delayed or passed on never replaces a newer one.
	Sequence uint64
	// FailureDomain is the VM's failure domain.
	FailureDomain string
	// CallerURL is the address for callers, with scheme.
	CallerURL string
	// PeerAddress is the address for peers, "IP:port".
	PeerAddress string
	// ConfigVersion is the configuration version in force at the VM.
	ConfigVersion int64
	// Withdrawn is how many withdrawn keys the VM knows of. WithdrawnSum differs
	// between VMs that know of different ones.
	Withdrawn    int64
	WithdrawnSum uint64
	// Leaving means that the VM is shutting down and takes no new callers.
	Leaving bool
	// Ready means that the VM is ready for callers.
	Ready bool
	// InFlight is the number of requests in flight.
	InFlight int64
	// ServedTokens counts the tokens served by team since the process started.
	ServedTokens map[string]int64
	// QuotaIncarnation is the incarnation in the VM's quota record. It also grows
	// when the others have closed the record of a process that was cut off for long.
	QuotaIncarnation uint64
	// Silent marks a report that is passed on with the word that the VM's
	// partners have not heard it since. It is never set by the VM itself.
	Silent bool
}

// newerThan reports whether n is a later report of the same VM than old.
func (n *Node) newerThan(old *Node) bool {
	if n.Incarnation != old.Incarnation {
		return n.Incarnation > old.Incarnation
	}
	return n.Sequence > old.Sequence
}

// clone copies the node with its map, so that a published view stays immutable.
func (n *Node) clone() Node {
	c := *n
	c.ServedTokens = maps.Clone(n.ServedTokens)
	return c
}

// Status is what the local VM believes of another one.
type Status int

// A VM is heard, then suspected when reports stop, then gone.
const (
	Heard Status = iota
	Suspected
	Gone
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	switch s {
	case Heard:
		return "heard"
	case Suspected:
		return "suspected"
	default:
		return "gone"
	}
}

// Member is a VM with what is believed of it.
type Member struct {
	Node
	// Status is heard, suspected or gone.
	Status Status
	// Partner means that heartbeats with this VM are exchanged directly.
	Partner bool
	// LastHeard is when its newest report arrived, directly or passed on.
	LastHeard time.Time
}
