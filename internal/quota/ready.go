package quota

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// joinTimeout is how long a VM that should hold slots waits for them before it serves
// callers with borrowed tokens. It bounds the wait if the other VMs cannot spare slots
// at present.
const joinTimeout = 5 * time.Second

// CanAdmit reports whether this VM can admit requests: for every team it has its own or
// a borrowed share of the limit, or a lender that is likely to have tokens. A VM that
// has just started has none of these, and would refuse callers whose team is within its
// rate. CanAdmit returns false until hasJoined is true. A VM with slots then also has as
// many witnesses as are available, whose promises keep its share usable in an outage of
// the key-value service.
func (m *Machine) CanAdmit(now clock.Reading) bool {
	m.joined = m.joined || m.hasJoined(now)
	if !m.joined || len(m.teams) == 0 {
		return false
	}
	for _, a := range m.teams {
		m.refresh(now, a)
		// The estimate is roundingSlack if no lender is likely to have tokens.
		if a.units() == 0 && m.estimateElsewhere(now, a) <= roundingSlack {
			return false
		}
	}
	return true
}

// hasJoined reports whether the VM has finished joining. A VM that should hold slots
// waits for them and for witnesses of its record, because a VM that relies on loans from
// VMs that are starting too refuses its first callers. A VM that cannot read the
// assignment, or should hold slots but has got none, borrows after joinTimeout; it has no
// share of its own to lose.
func (m *Machine) hasJoined(now clock.Reading) bool {
	if m.assignment.usableSlots() > 0 {
		return len(m.own.witnesses) >= m.availableWitnesses()
	}
	expectsSlots := !m.assignment.known || slices.Contains(m.holders, m.cfg.Self)
	return !expectsSlots || now.Mono-m.started.Mono >= joinTimeout
}

// availableWitnesses returns the number of witnesses that the record could name now.
func (m *Machine) availableWitnesses() int {
	return len(m.chooseWitnesses())
}
