package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// duty is the watch that this VM keeps over the record of one that seems dead.
type duty struct {
	busy     bool
	lastRead time.Duration
	tried    bool
	// wanted is when the record was last of interest.
	wanted time.Duration
}

// dutyLasts is how long a record is read on after it was last of interest.
const dutyLasts = 2 * time.Second

func (m *Machine) dutyOf(vm string) *duty {
	d, known := m.duties[vm]
	if !known {
		d = &duty{}
		m.duties[vm] = d
	}
	return d
}

// suspicious reports whether a process seems to be gone: its VM is not heard, or
// a later process runs there. That decides only when to look; whether authority
// has ended is decided by the record, the promises and the time that passed.
func (m *Machine) suspicious(h Holder) bool {
	if h.VM == m.cfg.Self.VM {
		return h.Incarnation != m.cfg.Self.Incarnation
	}
	p, known := m.peers[h.VM]
	return !known || !p.Heard || p.Incarnation > h.Incarnation
}

// dutyTick reads the records of holders that seem to be gone.
func (m *Machine) dutyTick(now clock.Reading) {
	if m.leaving || !m.eligible(m.cfg.Self.VM) {
		return
	}
	for _, share := range m.shares.current.Shares {
		if m.suspicious(share.Holder) && !m.observer.isClosed(share.Holder) {
			m.dutyOf(share.VM).wanted = now.Mono
		}
	}
	if m.own.phase == recordForeign {
		m.dutyOf(m.cfg.Self.VM).wanted = now.Mono
	}
	for _, vm := range slices.Sorted(maps.Keys(m.duties)) {
		d := m.duties[vm]
		if now.Mono-d.wanted > dutyLasts && !d.busy {
			delete(m.duties, vm)
			continue
		}
		if d.busy || (d.tried && now.Mono-d.lastRead < retryEvery) {
			continue
		}
		d.busy, d.tried, d.lastRead = true, true, now.Mono
		m.read(m.recordKey(vm), operation{kind: opReadRecord, vm: vm, sent: now})
	}
}

// closingWait is how long after the last possible renewal an authority that
// another VM holds has certainly ended.
func (m *Machine) closingWait() time.Duration {
	if m.faults.noClosingWait {
		return 0
	}
	return m.cfg.Term
}

// onRecord looks at the record of a process that seems to be gone and takes the
// next step towards closing it. Any VM may take the steps in any order, and one
// that dies on the way leaves nothing behind that another cannot go on from.
func (m *Machine) onRecord(now clock.Reading, vm string, entry Entry) {
	record, err := decode[Record](entry.Value)
	if entry.Revision == 0 || err != nil {
		return
	}
	unchanged := m.observer.see(now, vm, entry.Revision)
	m.noteEnded(now, record)
	if record.Closed || !m.suspicious(record.Holder) {
		return
	}
	lapsed := unchanged >= m.closingWait() || record.consented()
	if !lapsed {
		return
	}
	next := record
	next.Witnesses = slices.Clone(record.Witnesses)
	all, own, changed := true, false, false
	for i, w := range next.Witnesses {
		if w.Consent {
			continue
		}
		if !m.consents(now, record, w, unchanged) {
			all = false
			continue
		}
		next.Witnesses[i].Consent = true
		changed = true
		own = own || w.Holder == m.cfg.Self
	}
	next.Closed = all
	if !changed && !next.Closed {
		return
	}
	d := m.dutyOf(vm)
	if d.busy {
		return
	}
	d.busy = true
	if own {
		m.promises.refuse(record.Holder)
	}
	m.write(m.recordKey(vm), encode(next), operation{
		kind: opWriteRecord, vm: vm, sent: now, expected: entry.Revision, record: record,
	})
}

// noteEnded notes which processes of a VM a record shows to be closed: its
// holder, if it says so, and every earlier one, because a later process writes
// the record only after the earlier one's was closed.
func (m *Machine) noteEnded(now clock.Reading, record Record) {
	if record.Closed {
		m.observer.noteClosed(now, record.Holder)
	}
	for _, share := range m.shares.current.Shares {
		if share.VM == record.VM && share.Incarnation < record.Incarnation {
			m.observer.noteClosed(now, share.Holder)
		}
	}
	for _, d := range m.witnessesOfInterest(record) {
		m.dutyOf(d).wanted = now.Mono
	}
}

// witnessesOfInterest lists the witnesses of an open record that seem to be gone
// themselves. When they are closed too, their consent follows from that.
func (m *Machine) witnessesOfInterest(record Record) []string {
	var vms []string
	if record.Closed || !m.suspicious(record.Holder) {
		return nil
	}
	for _, w := range record.Witnesses {
		if !w.Consent && w.VM != m.cfg.Self.VM && m.suspicious(w.Holder) {
			vms = append(vms, w.VM)
		}
	}
	return vms
}

// consents reports whether a witness's consent to close a record can be written.
func (m *Machine) consents(now clock.Reading, record Record, w Witness, unchanged time.Duration) bool {
	wait := m.closingWait()
	switch {
	case w.Holder == m.cfg.Self:
		return m.promises.lapsed(now, record.Holder, wait)
	case w.VM == m.cfg.Self.VM && w.Address == m.cfg.Address && w.Incarnation < m.cfg.Self.Incarnation:
		// The witness was an earlier process at this address. It takes in no
		// requests since this one does, so what it promised has lapsed by now.
		return elapsedAtLeast(m.started, now) >= wait
	case m.observer.closedFor(now, w.Holder, wait):
		// A process promises only while it has authority itself.
		return true
	default:
		return unchanged >= m.cfg.MaxSilence+wait
	}
}

// onConsentWritten lets the witness promise again if its consent certainly did
// not and will not take effect, because the record has moved on without it.
func (m *Machine) onConsentWritten(op operation, outcome Outcome, current *Entry) {
	if outcome != DidNot || current == nil || current.Revision <= op.expected {
		return
	}
	record, err := decode[Record](current.Value)
	if err != nil || record.Holder != op.record.Holder {
		return
	}
	mine := slices.ContainsFunc(record.Witnesses, func(w Witness) bool { return w.Consent && w.Holder == m.cfg.Self })
	if !mine && !record.Closed {
		delete(m.promises.refused, record.Holder)
	}
}
