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

// retryEvery is the pause between calls to a service that did not answer.
const retryEvery = 500 * time.Millisecond

type recordPhase int

const (
	// recordUnknown means that the record must be read before it is written.
	recordUnknown recordPhase = iota
	// recordForeign means that it belongs to an earlier process, whose authority
	// must be closed first.
	recordForeign
	// recordActive means that it is ours and can be renewed.
	recordActive
	// recordMarked means that others have begun to close it.
	recordMarked
	// recordClosed means that this process's authority has ended for good.
	recordClosed
)

// ownRecord is what a process knows of its own record.
type ownRecord struct {
	phase    recordPhase
	revision int64
	renewals uint64
	busy     bool
	lastTry  time.Duration
	tried    bool
	// sent holds when each renewal was sent whose outcome is not known.
	sent map[uint64]clock.Reading
	// witnesses lists the witnesses of the record in force. While the outcome of
	// a write is open it holds only those that are in either version.
	witnesses []Witness
	// open means that a write that expects this revision may yet take effect.
	open bool
	// asked holds when promises were asked for.
	asked     map[uint64]clock.Reading
	lastAsked time.Duration
}

func newOwnRecord() ownRecord {
	return ownRecord{sent: make(map[uint64]clock.Reading), asked: make(map[uint64]clock.Reading)}
}

// recordTick renews the authority: by writing the own record, and by witnesses'
// promises when that has not worked for a while.
func (m *Machine) recordTick(now clock.Reading) {
	if m.own.phase == recordClosed {
		return
	}
	m.askPromises(now)
	if m.own.busy || !m.wantsRecord() {
		return
	}
	pause := m.cfg.Term / 3
	if m.own.phase != recordActive || len(m.own.witnesses) < m.possibleWitnesses() {
		// Without witnesses the authority would not survive an outage.
		pause = retryEvery
	}
	if m.own.tried && now.Mono-m.own.lastTry < pause {
		return
	}
	m.own.tried = true
	m.own.lastTry = now.Mono
	m.own.busy = true
	if m.own.phase == recordActive {
		m.writeOwn(now, false)
		return
	}
	m.read(m.recordKey(m.cfg.Self.VM), operation{kind: opReadOwn, sent: now})
}

// wantsRecord reports whether this VM should hold slots, or still does.
func (m *Machine) wantsRecord() bool {
	return m.own.phase == recordActive || m.own.phase == recordMarked || m.shares.slotsOn(m.cfg.Self.VM) > 0 || m.eligible(m.cfg.Self.VM)
}

// writeOwn renews the own record, or closes it when the process leaves.
func (m *Machine) writeOwn(now clock.Reading, closed bool) {
	m.own.renewals++
	record := Record{Holder: m.cfg.Self, Renewals: m.own.renewals, Witnesses: m.chooseWitnesses(), Closed: closed}
	m.own.sent[record.Renewals] = now
	m.own.witnesses = slices.DeleteFunc(m.own.witnesses, func(w Witness) bool {
		return !slices.Contains(record.Witnesses, w)
	})
	m.own.busy = true
	m.own.open = true
	m.write(m.recordKey(m.cfg.Self.VM), encode(record), operation{
		kind: opWriteOwn, sent: now, expected: m.own.revision, record: record,
	})
}

func (m *Machine) onOwnWritten(now clock.Reading, op operation, outcome Outcome, revision int64) {
	if op.record.Holder != m.cfg.Self {
		return
	}
	if outcome != TookEffect {
		m.own.phase = recordUnknown
		m.own.lastTry = now.Mono - retryEvery
		return
	}
	m.confirmOwn(now, op.record, revision)
	if op.record.Closed && !m.leaving {
		m.rejoin(now)
	}
}

// confirmOwn takes over a record that is known to be in force. Authority counts
// from the sending of the write that made it.
func (m *Machine) confirmOwn(now clock.Reading, record Record, revision int64) {
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

// noteRevision takes over the witnesses of the record in force. As long as the
// revision stands, a write of ours may yet replace it, so a witness that only
// the old version names must not count again.
func (m *Machine) noteRevision(revision int64, record Record) {
	if m.own.open && revision == m.own.revision {
		return
	}
	m.own.open = false
	m.own.revision = revision
	m.own.witnesses = slices.Clone(record.Witnesses)
	maps.DeleteFunc(m.own.sent, func(renewal uint64, _ clock.Reading) bool { return renewal < record.Renewals })
}

// onOwnRecord takes in the own record as read from the service.
func (m *Machine) onOwnRecord(now clock.Reading, entry Entry) {
	if entry.Revision < m.own.revision {
		return
	}
	if entry.Revision == 0 {
		m.writeOwn(now, false)
		return
	}
	record, err := decode[Record](entry.Value)
	switch {
	case err != nil:
	case record.Incarnation > m.cfg.Self.Incarnation:
		// A later process runs on this VM, and this one must stop.
		m.authority.drop()
		m.own.phase = recordClosed
	case record.Incarnation < m.cfg.Self.Incarnation && record.Closed:
		m.observer.noteClosed(now, record.Holder)
		m.own.revision = entry.Revision
		m.writeOwn(now, false)
	case record.Incarnation < m.cfg.Self.Incarnation:
		m.own.phase = recordForeign
		m.supersede(now, record, entry.Revision)
		m.onRecord(now, m.cfg.Self.VM, entry)
	case record.Closed:
		m.rejoin(now)
	case !record.renewable():
		m.noteRevision(entry.Revision, record)
		m.own.phase = recordMarked
		m.closeOwn(now)
	default:
		m.confirmOwn(now, record, entry.Revision)
	}
}

// supersede keeps an earlier process of this VM, which may still run, from
// renewing its record for ever.
func (m *Machine) supersede(now clock.Reading, record Record, revision int64) {
	d := m.dutyOf(m.cfg.Self.VM)
	if record.Superseded || d.busy {
		return
	}
	d.busy = true
	record.Superseded = true
	m.write(m.recordKey(m.cfg.Self.VM), encode(record), operation{
		kind: opWriteRecord, vm: m.cfg.Self.VM, sent: now, expected: revision, record: record,
	})
}

// closeOwn ends the own authority after others have begun to do so. Waiting for
// them to finish could take for ever, if one of them still hears this VM. What
// is lent must come back or end first, because loans end with the authority.
func (m *Machine) closeOwn(now clock.Reading) {
	m.authority.drop()
	for _, a := range m.teams {
		m.refresh(now, a)
		if a.lent.units > 0 {
			return
		}
	}
	m.writeOwn(now, true)
}

// rejoin starts over under a new incarnation after the others closed this one,
// for example because this VM was cut off for long.
func (m *Machine) rejoin(now clock.Reading) {
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
			a.borrowed.end(number)
		}
		clear(a.borrowed.asks)
		a.collect = nil
		m.refresh(now, a)
	}
}

// Self returns the process as it is known in the records. Its incarnation grows
// when the process had to start over.
func (m *Machine) Self() Holder {
	return m.cfg.Self
}

// askPromises asks the witnesses when the record has not been renewed in time.
func (m *Machine) askPromises(now clock.Reading) {
	phase := m.own.phase
	late := m.authority.held && clock.Elapsed(m.authority.sent, now) >= m.cfg.Term/2
	if !late || phase == recordForeign || now.Mono-m.own.lastAsked < m.cfg.Term/8 {
		return
	}
	m.own.lastAsked = now.Mono
	for number, sent := range m.own.asked {
		if clock.Elapsed(sent, now) >= m.cfg.Term {
			delete(m.own.asked, number)
		}
	}
	number := m.nextNumber()
	m.own.asked[number] = now
	for _, w := range m.own.witnesses {
		m.send(w.VM, PromiseRequest{From: m.cfg.Self, To: w.Holder, Number: number})
	}
}

// onPromiseRequest gives this VM's word, if it is the process that is named, has
// authority itself and has not consented to close the asker's record.
func (m *Machine) onPromiseRequest(now clock.Reading, from string, msg PromiseRequest) {
	if msg.To != m.cfg.Self || !m.authority.live(now) {
		return
	}
	if !m.promises.give(now, msg.From) && !m.faults.promiseAfterConsent {
		return
	}
	m.send(from, Promise{From: m.cfg.Self, To: msg.From, Number: msg.Number})
}

// onPromise renews the authority from the sending of the request.
func (m *Machine) onPromise(now clock.Reading, msg Promise) {
	sent, open := m.own.asked[msg.Number]
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

// chooseWitnesses keeps the witnesses that are still there and adds VMs in other
// failure domains, where there are any. A change without need would be a risk: if
// its write is lost in an outage, only those that stand in both lists count.
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

// witnessCandidates lists the VMs that may be witnesses, in this VM's order.
func (m *Machine) witnessCandidates() []Peer {
	var candidates []Peer
	for vm, p := range m.peers {
		if p.Heard && !p.Leaving && m.eligible(vm) {
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(m.rank(a), m.rank(b)), cmp.Compare(a.VM, b.VM))
	})
	return candidates
}

// rank orders witnesses differently at every VM, so that none has to answer for
// all of them.
func (m *Machine) rank(p Peer) uint64 {
	return xxhash.Sum64String(m.cfg.Self.VM + "\x00" + p.VM + "\x00" + strconv.Itoa(witnessCount))
}
