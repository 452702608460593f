package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// sharesReadEvery is how often each of the smallest fleets' VMs reads the
// assignment. Larger fleets' VMs read it less often, so that the reads of all
// together stay the same; they watch it besides.
const (
	sharesReadEvery = time.Second
	sharesReaders   = 7
	// firstGiveWait and maxGiveWait bound how long a move of slots is put off
	// that cannot be made now.
	firstGiveWait = 50 * time.Millisecond
	maxGiveWait   = 2 * time.Second
)

// move is a change of the assignment that takes slots from this VM.
type move struct {
	to    Holder
	slots int64
}

// sharing is what a VM knows of the assignment.
type sharing struct {
	self     *Holder
	known    bool
	current  Assignment
	revision int64
	busy     bool
	lastRead time.Duration
	// giving is what this VM has stopped using and is about to hand over, and
	// expected the revision that the write replaces. It stays set until a later
	// revision is seen, because a write whose answer was lost may take effect at
	// any time.
	giving   int64
	expected int64
	again    bool
	// giveAfter is when the next move is tried, and giveWait how long the last
	// one that could not be made was put off.
	giveAfter time.Duration
	giveWait  time.Duration
}

// usable is the number of slots that this VM may use, given authority.
func (s *sharing) usable() int64 {
	if s.self == nil {
		return 0
	}
	return max(s.current.slotsOf(*s.self)-s.giving, 0)
}

// slotsOn is the number of slots of all processes of a VM.
func (s *sharing) slotsOn(vm string) int64 {
	sum := int64(0)
	for _, share := range s.current.Shares {
		if share.VM == vm {
			sum += share.Slots
		}
	}
	return sum
}

// onShares takes in the assignment. Entries may arrive late and out of order.
func (m *Machine) onShares(entry Entry) {
	s := &m.shares
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
	if s.giving > 0 && entry.Revision > s.expected {
		s.giving = 0
	}
}

// shareTick reads the assignment now and then, and changes it where this VM may.
func (m *Machine) shareTick(now clock.Reading) {
	s := &m.shares
	s.self = &m.cfg.Self
	if s.busy {
		return
	}
	every := sharesReadEvery * time.Duration(max(1, (len(m.peers)+1)/sharesReaders))
	if !s.known || s.again || s.giving > 0 {
		every = retryEvery
	}
	if now.Mono-s.lastRead >= every || (!s.known && s.lastRead == 0) {
		s.lastRead = now.Mono
		s.again = false
		s.busy = true
		m.read(m.sharesKey(), operation{kind: opReadShares, sent: now})
		return
	}
	if !s.known || s.giving > 0 || s.again || m.own.phase != recordActive || !m.authority.live(now) {
		return
	}
	m.changeShares(now)
}

func (m *Machine) changeShares(now clock.Reading) {
	s := &m.shares
	if s.revision == 0 {
		first := Assignment{Shares: []Share{{Holder: m.cfg.Self, Slots: Slots}}}
		m.writeShares(now, first, 0)
		return
	}
	if !m.leaving {
		for _, share := range s.current.Shares {
			if share.Holder != m.cfg.Self && m.observer.isClosed(share.Holder) {
				m.writeShares(now, s.current.move(share.Holder, m.cfg.Self, share.Slots), 0)
				return
			}
		}
	}
	mine := s.current.slotsOf(m.cfg.Self)
	if mine == 0 {
		if m.leaving && !m.own.busy {
			m.writeOwn(now, true)
		}
		return
	}
	if now.Mono < s.giveAfter {
		return
	}
	if give, ok := m.chooseMove(mine); ok {
		s.busy = true
		m.read(m.recordKey(give.to.VM), operation{kind: opCheckReceiver, sent: now, give: give})
	}
}

// chooseMove picks the VM with the fewest slots, if this one has more than its part.
func (m *Machine) chooseMove(mine int64) (move, bool) {
	holders := m.holders
	others := slices.DeleteFunc(slices.Clone(holders), func(h Holder) bool { return h == m.cfg.Self })
	if len(others) == 0 {
		return move{}, false
	}
	fewest := slices.MinFunc(others, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(m.shares.current.slotsOf(a), m.shares.current.slotsOf(b)), cmp.Compare(a.VM, b.VM))
	})
	theirs := m.shares.current.slotsOf(fewest)
	target := Slots / int64(len(holders))
	if len(others) == len(holders) {
		// This VM should hold nothing: it leaves, or others are to hold.
		return move{to: fewest, slots: min(mine, max(target-theirs, 1))}, true
	}
	slots := min(mine-target, target-theirs)
	if slots <= 0 && mine-theirs > 1 {
		// What the division leaves over goes round one by one.
		slots = 1
	}
	return move{to: fewest, slots: slots}, slots > 0
}

// onReceiver hands slots over if the receiver can keep them and this VM can spare
// them. If not, the next try waits, each time longer: a VM whose units are all on
// loan would otherwise read the receiver's record at every tick, as one of 126 did
// a hundred times a second.
func (m *Machine) onReceiver(now clock.Reading, give move, entry Entry) {
	s := &m.shares
	if m.mayGive(now, give, entry) {
		s.giveWait = 0
		m.writeShares(now, s.current.move(m.cfg.Self, give.to, give.slots), give.slots)
		return
	}
	s.giveWait = min(max(2*s.giveWait, firstGiveWait), maxGiveWait)
	s.giveAfter = now.Mono + s.giveWait
}

func (m *Machine) mayGive(now clock.Reading, give move, entry Entry) bool {
	record, err := decode[Record](entry.Value)
	if entry.Revision == 0 || err != nil || record.Holder != give.to || !record.renewable() {
		return false
	}
	// This VM could be its witness, so a record without any was written before
	// its holder had heard of others. What it held would not survive an outage.
	if len(record.Witnesses) == 0 {
		return false
	}
	mine := m.shares.current.slotsOf(m.cfg.Self)
	return m.shares.giving == 0 && m.authority.live(now) && mine >= give.slots && m.canSpare(now, mine-give.slots)
}

// canSpare reports whether what is lent fits what this VM would keep.
func (m *Machine) canSpare(now clock.Reading, keep int64) bool {
	for _, a := range m.teams {
		m.refresh(now, a)
		if a.lent.units > keep*UnitsPerSlot {
			return false
		}
	}
	return true
}

// writeShares replaces the assignment. What is given away is no longer used from
// here on, before the write goes out: the receiver may use it as soon as the
// write has taken effect, which may be long before the answer comes.
func (m *Machine) writeShares(now clock.Reading, next Assignment, giving int64) {
	s := &m.shares
	if giving > 0 && !m.faults.giveBeforeStopping {
		s.giving = giving
		s.expected = s.revision
		for _, a := range m.teams {
			m.refresh(now, a)
		}
	}
	s.busy = true
	m.write(m.sharesKey(), encode(next), operation{kind: opWriteShares, sent: now, expected: s.revision, shares: next})
}

func (m *Machine) onSharesWritten(_ clock.Reading, op operation, outcome Outcome, revision int64) {
	if outcome == TookEffect {
		m.onShares(Entry{Value: encode(op.shares), Revision: revision})
		return
	}
	// What took effect is learned by reading, also after a refusal: an earlier
	// write with the same expected revision may be the one in the way.
	m.shares.again = true
}

// chooseHolders lists the processes that should hold slots: all VMs that are
// heard, or in a large fleet a fixed number of them in the order of a hash.
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
		if p.Heard && !p.Leaving {
			all = append(all, ranked{p.Holder, xxhash.Sum64String(p.VM)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.VM, b.VM))
	})
	m.holders = m.holders[:0]
	clear(m.holding)
	for _, r := range all[:min(len(all), m.cfg.MaxHolders)] {
		m.holders = append(m.holders, r.Holder)
		m.holding[r.VM] = true
	}
}

// eligible reports whether a VM is among the holders.
func (m *Machine) eligible(vm string) bool {
	return m.holding[vm]
}
