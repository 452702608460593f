package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// findEvery is how often a VM without the assignment asks the others what they have.
const findEvery = 300 * time.Millisecond

// findLenders asks the VMs that are heard what they have, while the assignment
// is not known. A VM that restarts during an outage of the key-value service
// would otherwise know of no lender and refuse every request.
func (m *Machine) findLenders(now clock.Reading, a *account) {
	if m.shares.known || now.Mono < a.nextFind {
		return
	}
	a.nextFind = now.Mono + findEvery
	for _, vm := range m.heardVMs() {
		view, known := a.lenders[vm]
		if !known {
			view = &lenderView{at: now.Mono}
			a.lenders[vm] = view
		}
		view.hinted = now.Mono
		if m.askable(now, a, vm, view) {
			m.ask(now, a, vm, Ask{Ahead: true})
		}
	}
}

// heardVMs lists other VMs that are heard, no more than there are holders.
func (m *Machine) heardVMs() []string {
	var vms []string
	for _, h := range m.holders {
		if h.VM != m.cfg.Self.VM {
			vms = append(vms, h.VM)
		}
	}
	return vms
}

// updateLenders takes over the holders of the assignment. VMs that hold no slots
// but were named as borrowers stay for a while.
func (m *Machine) updateLenders(now clock.Reading, a *account) {
	for vm, view := range a.lenders {
		view.slots = m.shares.slotsOn(vm)
		if view.slots == 0 && now.Mono-view.hinted >= m.cfg.LoanTTL {
			delete(a.lenders, vm)
		}
	}
	for _, s := range m.shares.current.Shares {
		if _, known := a.lenders[s.VM]; known || s.VM == m.cfg.Self.VM {
			continue
		}
		units := s.Slots * UnitsPerSlot
		a.lenders[s.VM] = &lenderView{slots: s.Slots, left: a.capOf(units), idle: units, at: now.Mono}
	}
}

// noteHint remembers that a VM has borrowed from a lender, and so has tokens
// beyond its slots.
func (m *Machine) noteHint(now clock.Reading, a *account, vm string) {
	if vm == "" || vm == m.cfg.Self.VM {
		return
	}
	view, known := a.lenders[vm]
	if !known {
		view = &lenderView{}
		a.lenders[vm] = view
	}
	if now.Mono-view.hinted < hintEvery {
		return
	}
	view.hinted = now.Mono
	view.left = a.capOf(Units)
	view.nextAsk = now.Mono
}

// estimate is the most that a lender is likely to have now, going by its last
// answer and by what its demand left over then. An old answer says nothing of
// the demand any more.
func (m *Machine) estimate(now clock.Reading, a *account, view *lenderView) int64 {
	units := view.idle
	age := now.Mono - view.at
	if age >= answerLasts {
		units = max(units, view.slots*UnitsPerSlot)
	}
	rate := mulDiv(a.limit.Rate*NanoPerToken, max(units, 0), Units)
	accrued := mulDiv(rate, int64(age), int64(time.Second))
	return max(view.left, min(view.left+accrued, a.capOf(max(view.slots*UnitsPerSlot, units))))
}

// estimateElsewhere is the most that all lenders that are heard can have now.
func (m *Machine) estimateElsewhere(now clock.Reading, a *account) int64 {
	sum := int64(roundingSlack)
	for vm, view := range a.lenders {
		if m.peers[vm].Heard {
			sum += m.estimate(now, a, view)
		}
	}
	return sum
}
