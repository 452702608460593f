package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// assignmentReadInterval is how often a VM of a small fleet reads the assignment. The
// VMs of a fleet larger than assignmentReaders read it less often, so that the total
// number of reads does not grow with the fleet. All VMs watch it as well.
const (
	assignmentReadInterval = time.Second
	assignmentReaders      = 7
	// minTransferBackoff and maxTransferBackoff bound the wait after a transfer of
	// slots was not possible.
	minTransferBackoff = 50 * time.Millisecond
	maxTransferBackoff = 2 * time.Second
)

// slotTransfer is a transfer of slots from this VM to another process.
type slotTransfer struct {
	to    Holder
	slots int64
}

// assignmentState is the assignment as far as this VM has read it, and the changes that
// this VM is making to it.
type assignmentState struct {
	self         *Holder
	known        bool
	current      Assignment
	revision     int64
	callInFlight bool
	lastRead     time.Duration
	// outgoingSlots is the number of slots that this VM has stopped using and is
	// transferring, and expected is the revision that the write replaces. outgoingSlots
	// stays set until a later revision is seen, because a write whose answer was lost may
	// take effect at any time.
	outgoingSlots int64
	expected      int64
	rereadNeeded  bool
	// nextTransfer is the earliest time of the next transfer, and transferBackoff the
	// wait after the last transfer that was not possible.
	nextTransfer    time.Duration
	transferBackoff time.Duration
}

// usableSlots returns the number of slots that this VM may use while it has authority.
func (s *assignmentState) usableSlots() int64 {
	if s.self == nil {
		return 0
	}
	return max(s.current.slotsOf(*s.self)-s.outgoingSlots, 0)
}

// slotsOnVM returns the number of slots of all processes of a VM.
func (s *assignmentState) slotsOnVM(vm string) int64 {
	sum := int64(0)
	for _, share := range s.current.Shares {
		if share.VM == vm {
			sum += share.Slots
		}
	}
	return sum
}

// onAssignment adopts the assignment of an entry. Entries may arrive late and out of
// order; older ones are ignored.
func (m *Machine) onAssignment(entry Entry) {
	s := &m.assignment
	if s.known && entry.Revision <= s.revision {
		return
	}
	s.known = true
	if entry.Revision == 0 {
		return
	}
	current, err := decode[Assignment](entry.Value)
	if err != nil {
		return
	}
	s.current = current
	s.revision = entry.Revision
	if s.outgoingSlots > 0 && entry.Revision > s.expected {
		s.outgoingSlots = 0
	}
}

// assignmentTick reads the assignment periodically, and changes it if this VM may and
// needs to.
func (m *Machine) assignmentTick(now clock.Reading) {
	s := &m.assignment
	s.self = &m.cfg.Self
	if s.callInFlight {
		return
	}
	interval := assignmentReadInterval * time.Duration(max(1, (len(m.peers)+1)/assignmentReaders))
	if !s.known || s.rereadNeeded || s.outgoingSlots > 0 {
		interval = retryInterval
	}
	if now.Mono-s.lastRead >= interval || (!s.known && s.lastRead == 0) {
		s.lastRead = now.Mono
		s.rereadNeeded = false
		s.callInFlight = true
		m.read(m.assignmentKey(), operation{kind: opReadAssignment, sent: now})
		return
	}
	if !s.known || s.outgoingSlots > 0 || s.rereadNeeded || m.own.phase != recordActive || !m.authority.live(now) {
		return
	}
	m.changeAssignment(now)
}

func (m *Machine) changeAssignment(now clock.Reading) {
	s := &m.assignment
	if s.revision == 0 {
		first := Assignment{Shares: []Share{{Holder: m.cfg.Self, Slots: Slots}}}
		m.writeAssignment(now, first, 0)
		return
	}
	if !m.leaving {
		for _, share := range s.current.Shares {
			if share.Holder != m.cfg.Self && m.observer.isClosed(share.Holder) {
				m.writeAssignment(now, s.current.move(share.Holder, m.cfg.Self, share.Slots), 0)
				return
			}
		}
	}
	ownSlots := s.current.slotsOf(m.cfg.Self)
	if ownSlots == 0 {
		if m.leaving && !m.own.callInFlight {
			m.writeOwnRecord(now, true)
		}
		return
	}
	if now.Mono < s.nextTransfer {
		return
	}
	if transfer, ok := m.chooseTransfer(ownSlots); ok {
		s.callInFlight = true
		m.read(m.recordKey(transfer.to.VM), operation{kind: opCheckReceiver, sent: now, transfer: transfer})
	}
}

// chooseTransfer chooses a transfer to the holder with the fewest slots. It returns
// false if this VM has no more than its equal share.
func (m *Machine) chooseTransfer(ownSlots int64) (slotTransfer, bool) {
	holders := m.holders
	others := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h == m.cfg.Self })
	if len(others) == 0 {
		return slotTransfer{}, false
	}
	fewest := slices.MinFunc(others, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(m.assignment.current.slotsOf(a), m.assignment.current.slotsOf(b)), cmp.Compare(a.VM, b.VM))
	})
	fewestSlots := m.assignment.current.slotsOf(fewest)
	target := Slots / int64(len(holders))
	if len(others) == len(holders) {
		// This VM should hold no slots: it is leaving, or it is not among the holders.
		return slotTransfer{to: fewest, slots: min(ownSlots, max(target-fewestSlots, 1))}, true
	}
	slots := min(ownSlots-target, target-fewestSlots)
	if slots <= 0 && ownSlots-fewestSlots > 1 {
		// The remainder of the division is transferred one slot at a time.
		slots = 1
	}
	return slotTransfer{to: fewest, slots: slots}, slots > 0
}

// onReceiverRecord transfers slots if the receiver can keep them and this VM can spare
// them. If not, the next attempt is delayed with exponential backoff. A VM whose units
// are all on loan would otherwise read the receiver's record at every tick: in a fleet of
// 126 VMs, one VM made a hundred reads per second.
func (m *Machine) onReceiverRecord(now clock.Reading, transfer slotTransfer, entry Entry) {
	s := &m.assignment
	if m.canTransfer(now, transfer, entry) {
		s.transferBackoff = 0
		m.writeAssignment(now, s.current.move(m.cfg.Self, transfer.to, transfer.slots), transfer.slots)
		return
	}
	s.transferBackoff = min(max(2*s.transferBackoff, minTransferBackoff), maxTransferBackoff)
	s.nextTransfer = now.Mono + s.transferBackoff
}

func (m *Machine) canTransfer(now clock.Reading, transfer slotTransfer, entry Entry) bool {
	record, err := decode[Record](entry.Value)
	if entry.Revision == 0 || err != nil || record.Holder != transfer.to || !record.renewable() {
		return false
	}
	// This VM could be a witness of the record, so a record without witnesses was
	// written before its holder saw any other VM alive. Slots that it held would not
	// survive an outage of the key-value service.
	if len(record.Witnesses) == 0 {
		return false
	}
	ownSlots := m.assignment.current.slotsOf(m.cfg.Self)
	return m.assignment.outgoingSlots == 0 && m.authority.live(now) && ownSlots >= transfer.slots && m.canSpare(now, ownSlots-transfer.slots)
}

// canSpare reports whether the lent units of every team fit the slots that this VM
// would keep.
func (m *Machine) canSpare(now clock.Reading, remaining int64) bool {
	for _, a := range m.teams {
		m.refresh(now, a)
		if a.lent.units > remaining*UnitsPerSlot {
			return false
		}
	}
	return true
}

// writeAssignment replaces the assignment. This VM stops using outgoing slots before the
// write is sent: the receiver may use them as soon as the write has taken effect, which
// may be long before the answer arrives.
func (m *Machine) writeAssignment(now clock.Reading, next Assignment, outgoing int64) {
	s := &m.assignment
	if outgoing > 0 && !m.faults.giveBeforeStopping {
		s.outgoingSlots = outgoing
		s.expected = s.revision
		for _, a := range m.teams {
			m.refresh(now, a)
		}
	}
	s.callInFlight = true
	m.write(m.assignmentKey(), encode(next), operation{kind: opWriteAssignment, sent: now, expected: s.revision, assignment: next})
}

func (m *Machine) onAssignmentWritten(_ clock.Reading, op operation, outcome Outcome, revision int64) {
	if outcome == TookEffect {
		m.onAssignment(Entry{Value: encode(op.assignment), Revision: revision})
		return
	}
	// The assignment is read again to find out what took effect, also if the write was
	// rejected: the conflicting write may be an earlier one of this VM with the same
	// expected revision.
	m.assignment.rereadNeeded = true
}

// chooseHolders selects the processes that should hold slots: those of all VMs that are
// alive and not leaving, or in a large fleet MaxHolders of them in the order of a hash of
// the VM ID.
func (m *Machine) chooseHolders() {
	type ranked struct {
		Holder
		hash uint64
	}
	var all []ranked
	if !m.leaving {
		all = append(all, ranked{m.cfg.Self, xxhash.Sum64String(m.cfg.Self.VM)})
	}
	for _, p := range m.peers {
		if p.Alive && !p.Leaving {
			all = append(all, ranked{p.Holder, xxhash.Sum64String(p.VM)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.VM, b.VM))
	})
	m.holders = m.holders[:0]
	clear(m.holderVMs)
	for _, r := range all[:min(len(all), m.cfg.MaxHolders)] {
		m.holders = append(m.holders, r.Holder)
		m.holderVMs[r.VM] = true
	}
}

// isHolderVM reports whether a VM's process is among those that should hold slots.
func (m *Machine) isHolderVM(vm string) bool {
	return m.holderVMs[vm]
}
