package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// discoveryInterval is how often a VM that has not read the assignment asks the other
// VMs for their balances.
const discoveryInterval = 300 * time.Millisecond

// discoverLenders asks the VMs that should hold slots for their balances until this VM
// has read the assignment. A VM that restarts during an outage of the key-value service
// would otherwise have no lenders and refuse every request.
func (m *Machine) discoverLenders(now clock.Reading, a *account) {
	if m.assignment.known || now.Mono < a.nextDiscovery {
		return
	}
	a.nextDiscovery = now.Mono + discoveryInterval
	for _, vm := range m.otherHolderVMs() {
		view, known := a.lenders[vm]
		if !known {
			view = &lenderView{answeredAt: now.Mono}
			a.lenders[vm] = view
		}
		view.hintedAt = now.Mono
		if m.canAsk(now, a, vm, view) {
			m.sendAsk(now, a, vm, Ask{Ahead: true})
		}
	}
}

// otherHolderVMs returns the IDs of the other VMs that should hold slots.
func (m *Machine) otherHolderVMs() []string {
	var vms []string
	for _, h := range m.holders {
		if h.VM != m.cfg.Self.VM {
			vms = append(vms, h.VM)
		}
	}
	return vms
}

// updateLenders updates the lenders from the assignment. VMs that hold no slots stay
// for LoanTTL after they were last named as a borrower or selected by discoverLenders.
func (m *Machine) updateLenders(now clock.Reading, a *account) {
	for vm, view := range a.lenders {
		view.slots = m.assignment.slotsOnVM(vm)
		if view.slots == 0 && now.Mono-view.hintedAt >= m.cfg.LoanTTL {
			delete(a.lenders, vm)
		}
	}
	for _, s := range m.assignment.current.Shares {
		if _, known := a.lenders[s.VM]; known || s.VM == m.cfg.Self.VM {
			continue
		}
		units := s.Slots * UnitsPerSlot
		a.lenders[s.VM] = &lenderView{slots: s.Slots, balance: a.burstShare(units), idle: units, answeredAt: now.Mono}
	}
}

// noteHint records that a VM has borrowed from a lender and therefore may have tokens
// beyond the share of its slots.
func (m *Machine) noteHint(now clock.Reading, a *account, vm string) {
	if vm == "" || vm == m.cfg.Self.VM {
		return
	}
	view, known := a.lenders[vm]
	if !known {
		view = &lenderView{}
		a.lenders[vm] = view
	}
	if now.Mono-view.hintedAt < hintInterval {
		return
	}
	view.hintedAt = now.Mono
	view.balance = a.burstShare(Units)
	view.nextAsk = now.Mono
}

// estimate returns the largest balance, in nano-tokens, that a lender is likely to have
// now, based on the balance and the idle units in its last answer. An answer older than
// answerValidity gives no information on the demand, so the lender's slots count as idle.
func (m *Machine) estimate(now clock.Reading, a *account, view *lenderView) int64 {
	units := view.idle
	age := now.Mono - view.answeredAt
	if age >= answerValidity {
		units = max(units, view.slots*UnitsPerSlot)
	}
	rate := mulDiv(a.limit.Rate*NanoPerToken, max(units, 0), Units)
	accrued := mulDiv(rate, int64(age), int64(time.Second))
	return max(view.balance, min(view.balance+accrued, a.burstShare(max(view.slots*UnitsPerSlot, units))))
}

// estimateElsewhere returns the sum of the estimates of all lenders that are alive, in
// nano-tokens.
func (m *Machine) estimateElsewhere(now clock.Reading, a *account) int64 {
	sum := int64(roundingSlack)
	for vm, view := range a.lenders {
		if m.peers[vm].Alive {
			sum += m.estimate(now, a, view)
		}
	}
	return sum
}
