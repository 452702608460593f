package membership

import "time"

// View is an immutable snapshot of the fleet as seen by one VM.
type View struct {
	// At is when the view was taken.
	At time.Time
	// Self is the local VM's latest report.
	Self Node
	// Members holds the other VMs, sorted by ID. VMs that are gone stay listed until
	// State.Tick removes them.
	Members []Member
	// PartnersTotal is the number of heartbeat partners in the view.
	PartnersTotal int
	// PartnersAlive is the number of partners from which a new report arrived directly
	// within Config.SuspectAfter.
	PartnersAlive int
}

// Healthy returns the VMs that callers may be sent to: those that are alive, ready and
// not leaving, including the local VM.
func (v *View) Healthy() []Node {
	var nodes []Node
	if v.Self.Ready && !v.Self.Leaving {
		nodes = append(nodes, v.Self)
	}
	for _, m := range v.Members {
		if m.Status == Alive && m.Ready && !m.Leaving {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

// Lookup returns the member with the given VM ID, and whether there is one.
func (v *View) Lookup(vm string) (Member, bool) {
	for _, m := range v.Members {
		if m.VM == vm {
			return m, true
		}
	}
	return Member{}, false
}

// NewestConfigVersion returns the highest configuration version that a VM that is not
// gone has reported, and such a VM. vm is empty if no VM reports a higher version than
// the local one.
func (v *View) NewestConfigVersion() (version int64, vm string) {
	version = v.Self.ConfigVersion
	for _, m := range v.Members {
		if m.Status != Gone && m.ConfigVersion > version {
			version, vm = m.ConfigVersion, m.VM
		}
	}
	return version, vm
}

// VMWithMissedWithdrawals returns a VM that may have withdrawn keys that the local VM is
// missing although the local configuration version is no lower. vm is empty if there is
// none.
func (v *View) VMWithMissedWithdrawals() (vm string) {
	for _, m := range v.Members {
		missed := m.Withdrawn >= v.Self.Withdrawn && m.WithdrawnSum != v.Self.WithdrawnSum
		if m.Status != Gone && missed && m.ConfigVersion <= v.Self.ConfigVersion {
			return m.VM
		}
	}
	return ""
}

// HasPartnerMajority reports whether more than half of the partners are alive by
// PartnersAlive. It is false for a VM without partners.
func (v *View) HasPartnerMajority() bool {
	return 2*v.PartnersAlive > v.PartnersTotal
}
