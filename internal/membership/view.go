package membership

import "time"

// View is an immutable picture of the fleet as one VM sees it.
type View struct {
	// At is when the view was made.
	At time.Time
	// Self is the local VM's latest report.
	Self Node
	// Members holds the other VMs, sorted by ID. VMs that are gone stay listed
	// until they are forgotten.
	Members []Member
	// PartnersKnown is the number of heartbeat partners at last knowledge.
	PartnersKnown int
	// PartnersHeard is how many of them were heard directly of late.
	PartnersHeard int
}

// Healthy returns the VMs that callers may be sent to: those heard, ready and
// not leaving, the local VM included.
func (v *View) Healthy() []Node {
	var nodes []Node
	if v.Self.Ready && !v.Self.Leaving {
		nodes = append(nodes, v.Self)
	}
	for _, m := range v.Members {
		if m.Status == Heard && m.Ready && !m.Leaving {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

// Lookup returns the member with this VM ID.
func (v *View) Lookup(vm string) (Member, bool) {
	for _, m := range v.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// NewestConfigVersion returns the highest configuration version that any VM
// has reported, and a VM that reported it. The VM is empty if it is the local one.
func (v *View) NewestConfigVersion() (version int64, vm string) {
	version = v.Self.ConfigVersion
	for _, m := range v.Members {
		if m.Status != Gone && m.ConfigVersion > version {
			version, vm = m.ConfigVersion, m.VM
		}
	}
	return version, vm
}

// MissedWithdrawals returns a VM that knows of withdrawn keys that the local one
// may not know of although its configuration version is no lower. It is empty if
// there is none.
func (v *View) MissedWithdrawals() (vm string) {
	for _, m := range v.Members {
		missed := m.Withdrawn >= v.Self.Withdrawn && m.WithdrawnSum != v.Self.WithdrawnSum
		if m.Status != Gone && missed && m.ConfigVersion <= v.Self.ConfigVersion {
			return m.VM
		}
	}
	return ""
}

// HearsMajority reports whether more than half of the partners were heard of
// late. A VM without partners hears no majority.
func (v *View) HearsMajority() bool {
	return 2*v.PartnersHeard > v.PartnersKnown
}
