package quota

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// retryInterval is the pause between calls to the key-value service that are repeated
// until they give the needed result.
const retryInterval = 500 * time.Millisecond

type recordPhase int

const (
	// recordUnknown means that the record must be read before it is written.
	recordUnknown recordPhase = iota
	// recordForeign means that it belongs to an earlier process of this VM, whose
	// record must be closed first.
	recordForeign
	// recordActive means that it belongs to this process and can be renewed.
	recordActive
	// recordClosing means that other processes have begun to close it.
	recordClosing
	// recordClosed means that this process's authority has ended permanently.
	recordClosed
)

// ownRecord is the state of a process's own record as far as the process knows it.
type ownRecord struct {
	phase        recordPhase
	revision     int64
	renewals     uint64
	callInFlight bool
	lastTry      time.Duration
	tried        bool
	// sent holds the sending times, by renewal number, of the renewals that are or may
	// become the one in force.
	sent map[uint64]clock.Reading
	// witnesses lists the witnesses of the record in force. While the outcome of a
	// write is unresolved, it holds only those that are in both versions.
	witnesses []Witness
	// writeUnresolved means that a write that expects this revision may still take
	// effect.
	writeUnresolved bool
	// promiseRequests holds the sending times of promise requests by their number.
	promiseRequests    map[uint64]clock.Reading
	lastPromiseRequest time.Duration
}

func newOwnRecord() ownRecord {
	return ownRecord{sent: make(map[uint64]clock.Reading), promiseRequests: make(map[uint64]clock.Reading)}
}

// recordTick renews the authority by writing the VM's own record, and by witnesses'
// promises if the authority was not renewed for half a term.
func (m *Machine) recordTick(now clock.Reading) {
	if m.own.phase == recordClosed {
		return
	}
	m.requestPromises(now)
	if m.own.callInFlight || !m.needsRecord() {
		return
	}
	pause := m.cfg.Term / 3
	if m.own.phase != recordActive || len(m.own.witnesses) < m.availableWitnesses() {
		// A record without enough witnesses is rewritten sooner: without witnesses the
		// authority would not survive an outage of the key-value service.
		pause = retryInterval
	}
	if m.own.tried && now.Mono-m.own.lastTry < pause {
		return
	}
	m.own.tried = true
	m.own.lastTry = now.Mono
	m.own.callInFlight = true
	if m.own.phase == recordActive {
		m.writeOwnRecord(now, false)
		return
	}
	m.read(m.recordKey(m.cfg.Self.VM), operation{kind: opReadOwn, sent: now})
}

// needsRecord reports whether this VM should hold slots, or still holds slots or a
// record that is not closed.
func (m *Machine) needsRecord() bool {
	return m.own.phase == recordActive || m.own.phase == recordClosing || m.assignment.slotsOnVM(m.cfg.Self.VM) > 0 || m.isHolderVM(m.cfg.Self.VM)
}

// writeOwnRecord renews the VM's own record, or closes it if closed is set.
func (m *Machine) writeOwnRecord(now clock.Reading, closed bool) {
	m.own.renewals++
	record := Record{Holder: m.cfg.Self, Renewals: m.own.renewals, Witnesses: m.chooseWitnesses(), Closed: closed}
	m.own.sent[record.Renewals] = now
	m.own.witnesses = slices.DeleteFunc(m.own.witnesses, func(w Witness) bool {
		return !slices.Contains(record.Witnesses, w)
	})
	m.own.callInFlight = true
	m.own.writeUnresolved = true
	m.write(m.recordKey(m.cfg.Self.VM), encode(record), operation{
		kind: opWriteOwn, sent: now, expected: m.own.revision, record: record,
	})
}

func (m *Machine) onOwnRecordWritten(now clock.Reading, op operation, outcome Outcome, revision int64) {
	if op.record.Holder != m.cfg.Self {
		return
	}
	if outcome != TookEffect {
		m.own.phase = recordUnknown
		m.own.lastTry = now.Mono - retryInterval
		return
	}
	m.confirmOwnRecord(now, op.record, revision)
	if op.record.Closed && !m.leaving {
		m.startNewIncarnation(now)
	}
}

// confirmOwnRecord adopts a record that is known to be in force. The authority's term
// runs from the sending of the write that stored it.
func (m *Machine) confirmOwnRecord(now clock.Reading, record Record, revision int64) {
	m.noteRevision(revision, record)
	m.own.renewals = max(m.own.renewals, record.Renewals)
	if record.Closed {
		m.authority.drop()
		m.own.phase = recordClosed
		return
	}
	m.own.phase = recordActive
	if sent, known := m.own.sent[record.Renewals]; known {
		if m.faults.authorityFromAnswer {
			sent = now
		}
		m.authority.renewByRecord(sent)
	}
}

// noteRevision adopts the revision and the witnesses of the record in force. While the
// revision is unchanged, an unresolved write of this process may still replace it, so a
// witness that only the old version names must not count again.
func (m *Machine) noteRevision(revision int64, record Record) {
	if m.own.writeUnresolved && revision == m.own.revision {
		return
	}
	m.own.writeUnresolved = false
	m.own.revision = revision
	m.own.witnesses = slices.Clone(record.Witnesses)
	maps.DeleteFunc(m.own.sent, func(renewal uint64, _ clock.Reading) bool { return renewal < record.Renewals })
}

// onOwnRecord processes the VM's own record as read from the key-value service.
func (m *Machine) onOwnRecord(now clock.Reading, entry Entry) {
	if entry.Revision < m.own.revision {
		return
	}
	if entry.Revision == 0 {
		m.writeOwnRecord(now, false)
		return
	}
	record, err := decode[Record](entry.Value)
	switch {
	case err != nil:
	case record.Incarnation > m.cfg.Self.Incarnation:
		// A later process runs on this VM, so this one must stop using its slots.
		m.authority.drop()
		m.own.phase = recordClosed
	case record.Incarnation < m.cfg.Self.Incarnation && record.Closed:
		m.observer.noteClosed(now, record.Holder)
		m.own.revision = entry.Revision
		m.writeOwnRecord(now, false)
	case record.Incarnation < m.cfg.Self.Incarnation:
		m.own.phase = recordForeign
		m.markSuperseded(now, record, entry.Revision)
		m.onRecord(now, m.cfg.Self.VM, entry)
	case record.Closed:
		m.startNewIncarnation(now)
	case !record.renewable():
		m.noteRevision(entry.Revision, record)
		m.own.phase = recordClosing
		m.closeOwnRecord(now)
	default:
		m.confirmOwnRecord(now, record, entry.Revision)
	}
}

// markSuperseded marks the record of an earlier process of this VM. That process may
// still run, and would otherwise renew its record forever.
func (m *Machine) markSuperseded(now clock.Reading, record Record, revision int64) {
	poll := m.recordPollOf(m.cfg.Self.VM)
	if record.Superseded || poll.callInFlight {
		return
	}
	poll.callInFlight = true
	record.Superseded = true
	m.write(m.recordKey(m.cfg.Self.VM), encode(record), operation{
		kind: opWriteRecord, vm: m.cfg.Self.VM, sent: now, expected: revision, record: record,
	})
}

// closeOwnRecord ends this process's own authority after other processes have begun to
// close its record. Waiting for them to finish could take forever, if one of them still
// considers this VM alive. Lent loans must be returned or expire before the record is
// closed, because loans end with the authority.
func (m *Machine) closeOwnRecord(now clock.Reading) {
	m.authority.drop()
	for _, a := range m.teams {
		m.refresh(now, a)
		if a.lent.units > 0 {
			return
		}
	}
	m.writeOwnRecord(now, true)
}

// startNewIncarnation resets this process to a new incarnation after the present one
// was closed, for example because this VM was disconnected for a long time.
func (m *Machine) startNewIncarnation(now clock.Reading) {
	m.authority.drop()
	if m.leaving {
		m.own.phase = recordClosed
		return
	}
	m.observer.noteClosed(now, m.cfg.Self)
	m.cfg.Self.Incarnation++
	m.chooseHolders()
	m.started = now
	m.own = newOwnRecord()
	m.promises = newPromises()
	for _, a := range m.teams {
		for number := range a.borrowed.loans {
			a.borrowed.remove(number)
		}
		clear(a.borrowed.pendingAsks)
		a.collection = nil
		m.refresh(now, a)
	}
}

// Self returns this process's identity in the records. Its incarnation grows each time
// that the process starts over after its record was closed.
func (m *Machine) Self() Holder {
	return m.cfg.Self
}

// requestPromises asks the witnesses for promises if the authority has not been renewed
// for half a term.
func (m *Machine) requestPromises(now clock.Reading) {
	phase := m.own.phase
	late := m.authority.held && clock.Elapsed(m.authority.sent, now) >= m.cfg.Term/2
	if !late || phase == recordForeign || now.Mono-m.own.lastPromiseRequest < m.cfg.Term/8 {
		return
	}
	m.own.lastPromiseRequest = now.Mono
	for number, sent := range m.own.promiseRequests {
		if clock.Elapsed(sent, now) >= m.cfg.Term {
			delete(m.own.promiseRequests, number)
		}
	}
	number := m.nextNumber()
	m.own.promiseRequests[number] = now
	for _, w := range m.own.witnesses {
		m.send(w.VM, PromiseRequest{From: m.cfg.Self, To: w.Holder, Number: number})
	}
}

// onPromiseRequest promises not to consent to closing the sender's record, if this
// process is the one addressed, has authority itself and has not consented already.
func (m *Machine) onPromiseRequest(now clock.Reading, from string, msg PromiseRequest) {
	if msg.To != m.cfg.Self || !m.authority.live(now) {
		return
	}
	if !m.promises.grant(now, msg.From) && !m.faults.promiseAfterConsent {
		return
	}
	m.send(from, Promise{From: m.cfg.Self, To: msg.From, Number: msg.Number})
}

// onPromise renews the authority. The term runs from the sending of the request.
func (m *Machine) onPromise(now clock.Reading, msg Promise) {
	sent, open := m.own.promiseRequests[msg.Number]
	if !open || msg.To != m.cfg.Self {
		return
	}
	named := slices.ContainsFunc(m.own.witnesses, func(w Witness) bool { return w.Holder == msg.From })
	if !named {
		return
	}
	if m.faults.authorityFromAnswer {
		sent = now
	}
	m.authority.renewByPromise(sent)
}

// chooseWitnesses keeps the witnesses that are still candidates and adds others, if
// possible from further failure domains. It changes no witness without need: if the
// outcome of the write stays unknown in an outage, only witnesses in both lists count.
func (m *Machine) chooseWitnesses() []Witness {
	candidates := m.witnessCandidates()
	var chosen []Witness
	domains := map[string]bool{m.cfg.FailureDomain: true}
	choose := func(fits func(p Peer, w Witness) bool) {
		for _, p := range candidates {
			w := Witness{Holder: p.Holder, Address: p.Address}
			if len(chosen) < witnessCount && !slices.Contains(chosen, w) && fits(p, w) {
				domains[p.FailureDomain] = true
				chosen = append(chosen, w)
			}
		}
	}
	choose(func(_ Peer, w Witness) bool { return slices.Contains(m.own.witnesses, w) })
	choose(func(p Peer, _ Witness) bool { return !domains[p.FailureDomain] })
	choose(func(Peer, Witness) bool { return true })
	return chosen
}

// witnessCandidates returns the VMs that may be witnesses, ordered by witnessRank.
func (m *Machine) witnessCandidates() []Peer {
	var candidates []Peer
	for vm, p := range m.peers {
		if p.Alive && !p.Leaving && m.isHolderVM(vm) {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(m.witnessRank(a), m.witnessRank(b)), cmp.Compare(a.VM, b.VM))
	})
	return candidates
}

// witnessRank orders witnesses differently at every VM, so that no VM becomes the
// witness of all others.
func (m *Machine) witnessRank(p Peer) uint64 {
	return xxhash.Sum64String(m.cfg.Self.VM + "\x00" + p.VM + "\x00" + strconv.Itoa(witnessCount))
}
