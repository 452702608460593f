package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// recordPoll is the state of this VM's periodic reads of the record of a VM that is
// suspected to have failed.
type recordPoll struct {
	callInFlight bool
	lastRead     time.Duration
	tried        bool
	// lastNeeded is when the record was last needed.
	lastNeeded time.Duration
}

// recordPollDuration is how long a record is still read after it was last needed.
const recordPollDuration = 2 * time.Second

func (m *Machine) recordPollOf(vm string) *recordPoll {
	poll, known := m.recordPolls[vm]
	if !known {
		poll = &recordPoll{}
		m.recordPolls[vm] = poll
	}
	return poll
}

// isSuspected reports whether a process seems to have ended: its VM is not alive, or a
// later process runs there. This only decides when to read its record. Whether its
// authority has ended is decided by the record, the promises and the elapsed time.
func (m *Machine) isSuspected(h Holder) bool {
	if h.VM == m.cfg.Self.VM {
		return h.Incarnation != m.cfg.Self.Incarnation
	}
	p, known := m.peers[h.VM]
	return !known || !p.Alive || p.Incarnation > h.Incarnation
}

// recordPollTick reads the records of holders that are suspected to have ended.
func (m *Machine) recordPollTick(now clock.Reading) {
	if m.leaving || !m.isHolderVM(m.cfg.Self.VM) {
		return
	}
	for _, share := range m.assignment.current.Shares {
		if m.isSuspected(share.Holder) && !m.observer.isClosed(share.Holder) {
			m.recordPollOf(share.VM).lastNeeded = now.Mono
		}
	}
	if m.own.phase == recordForeign {
		m.recordPollOf(m.cfg.Self.VM).lastNeeded = now.Mono
	}
	for _, vm := range slices.Sorted(maps.Keys(m.recordPolls)) {
		poll := m.recordPolls[vm]
		if now.Mono-poll.lastNeeded > recordPollDuration && !poll.callInFlight {
			delete(m.recordPolls, vm)
			continue
		}
		if poll.callInFlight || (poll.tried && now.Mono-poll.lastRead < retryInterval) {
			continue
		}
		poll.callInFlight, poll.tried, poll.lastRead = true, true, now.Mono
		m.read(m.recordKey(vm), operation{kind: opReadRecord, vm: vm, sent: now})
	}
}

// closingWait returns the time after the last possible renewal at which another VM's
// authority has certainly expired.
func (m *Machine) closingWait() time.Duration {
	if m.faults.noClosingWait {
		return 0
	}
	return m.cfg.Term
}

// onRecord takes the next step towards closing the record of a process that is suspected
// to have ended. Any VM may take the steps in any order, and if a VM fails in between,
// another one can continue.
func (m *Machine) onRecord(now clock.Reading, vm string, entry Entry) {
	record, err := decode[Record](entry.Value)
	if entry.Revision == 0 || err != nil {
		return
	}
	unchanged := m.observer.observeRevision(now, vm, entry.Revision)
	m.noteClosures(now, record)
	if record.Closed || !m.isSuspected(record.Holder) {
		return
	}
	lapsed := unchanged >= m.closingWait() || record.consented()
	if !lapsed {
		return
	}
	next := record
	next.Witnesses = slices.Clone(record.Witnesses)
	allConsent, ownConsent, changed := true, false, false
	for i, w := range next.Witnesses {
		if w.Consent {
			continue
		}
		if !m.canRecordConsent(now, record, w, unchanged) {
			allConsent = false
			continue
		}
		next.Witnesses[i].Consent = true
		changed = true
		ownConsent = ownConsent || w.Holder == m.cfg.Self
	}
	next.Closed = allConsent
	if !changed && !next.Closed {
		return
	}
	poll := m.recordPollOf(vm)
	if poll.callInFlight {
		return
	}
	poll.callInFlight = true
	if ownConsent {
		m.promises.refuse(record.Holder)
	}
	m.write(m.recordKey(vm), encode(next), operation{
		kind: opWriteRecord, vm: vm, sent: now, expected: entry.Revision, record: record,
	})
}

// noteClosures records which processes of a VM are closed according to a record: its
// holder if the record is closed, and every earlier process, because a later process
// writes the record only after the earlier one's was closed. It also schedules reads of
// the records of suspected witnesses.
func (m *Machine) noteClosures(now clock.Reading, record Record) {
	if record.Closed {
		m.observer.noteClosed(now, record.Holder)
	}
	for _, share := range m.assignment.current.Shares {
		if share.VM == record.VM && share.Incarnation < record.Incarnation {
			m.observer.noteClosed(now, share.Holder)
		}
	}
	for _, vm := range m.suspectedWitnesses(record) {
		m.recordPollOf(vm).lastNeeded = now.Mono
	}
}

// suspectedWitnesses returns the VMs of those witnesses of a suspected holder's record
// that are suspected themselves. Once their records are closed too, their consent follows
// from that.
func (m *Machine) suspectedWitnesses(record Record) []string {
	var vms []string
	if record.Closed || !m.isSuspected(record.Holder) {
		return nil
	}
	for _, w := range record.Witnesses {
		if !w.Consent && w.VM != m.cfg.Self.VM && m.isSuspected(w.Holder) {
			vms = append(vms, w.VM)
		}
	}
	return vms
}

// canRecordConsent reports whether a witness's consent to closing a record may be
// written. unchanged is how long the record has been unchanged.
func (m *Machine) canRecordConsent(now clock.Reading, record Record, w Witness, unchanged time.Duration) bool {
	wait := m.closingWait()
	switch {
	case w.Holder == m.cfg.Self:
		return m.promises.lapsed(now, record.Holder, wait)
	case w.VM == m.cfg.Self.VM && w.Address == m.cfg.Address && w.Incarnation < m.cfg.Self.Incarnation:
		// The witness was an earlier process at this address. It has received no
		// requests since this process started, so after the wait its promises have
		// lapsed.
		return elapsedAtLeast(m.started, now) >= wait
	case m.observer.closedFor(now, w.Holder, wait):
		// A process sends promises only while it has authority itself.
		return true
	default:
		return unchanged >= m.cfg.MaxSilence+wait
	}
}

// onConsentWritten allows this process to send promises as a witness again if its
// consent certainly did not and will not take effect, because a later revision of the
// record exists without it.
func (m *Machine) onConsentWritten(op operation, outcome Outcome, current *Entry) {
	if outcome != NoEffect || current == nil || current.Revision <= op.expected {
		return
	}
	record, err := decode[Record](current.Value)
	if err != nil || record.Holder != op.record.Holder {
		return
	}
	consented := slices.ContainsFunc(record.Witnesses, func(w Witness) bool { return w.Consent && w.Holder == m.cfg.Self })
	if !consented && !record.Closed {
		delete(m.promises.refused, record.Holder)
	}
}
