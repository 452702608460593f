package quota

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// joinPatience is how long a VM that is to hold a part waits for it before it
// takes callers with what others lend. It bounds the wait for a VM whose parts
// cannot be spared at present.
const joinPatience = 5 * time.Second

// CanAdmit reports whether requests have a chance here: for every team this VM
// has a part of the limit, its own or borrowed, or knows of a VM that may lend.
// A VM that has just started has neither, and would refuse callers whose team
// is inside its rate. Its first report is put off until its own part would
// survive an outage of the key-value service.
func (m *Machine) CanAdmit(now clock.Reading) bool {
	m.joined = m.joined || m.hasJoined(now)
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

// hasJoined reports whether the VM has what it will have. A VM that is to hold a
// part waits for it, and for the part's witnesses: one that counted on loans from
// VMs that were starting too refused its first callers. A VM that cannot learn
// the assignment borrows, and has no part of its own to lose.
func (m *Machine) hasJoined(now clock.Reading) bool {
	if m.shares.usable() > 0 {
		return len(m.own.witnesses) >= m.possibleWitnesses()
	}
	expects := !m.shares.known || slices.Contains(m.holders, m.cfg.Self)
	return !expects || now.Mono-m.started.Mono >= joinPatience
}

// possibleWitnesses is the number of witnesses that the record could name now.
func (m *Machine) possibleWitnesses() int {
	return len(m.chooseWitnesses())
}
