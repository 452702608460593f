package quota

import "github.com/chestnutarch/chestnutarch/internal/clock"

// CanAdmit reports whether requests have a chance here: for every team this VM
// has a part of the limit, its own or borrowed, or knows of a VM that may lend.
// A VM that has just started has neither, and would refuse callers whose team
// is inside its rate. Its first report is put off until its own part would
// survive an outage of the key-value service.
func (m *Machine) CanAdmit(now clock.Reading) bool {
	m.joined = m.joined || m.hasJoined()
	if !m.joined || len(m.teams) == 0 {
		return false
	}
	for _, a := range m.teams {
		m.refresh(now, a)
		if a.units() == 0 && m.estimateElsewhere(now, a) <= roundingSlack {
			return false
		}
	}
	return true
}

// hasJoined reports whether the VM's part, if it has one, has witnesses. A VM
// that cannot learn the assignment borrows, and has no part of its own to lose.
func (m *Machine) hasJoined() bool {
	return m.shares.usable() == 0 || len(m.own.witnesses) >= m.possibleWitnesses()
}

// possibleWitnesses is the number of witnesses that the record could name now.
func (m *Machine) possibleWitnesses() int {
	return len(m.chooseWitnesses())
}
