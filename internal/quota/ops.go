package quota

import (
	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Outcome is what the caller knows about the effect of a write.
type Outcome int

// The outcomes of a write. Unknown means that it may have taken effect, may still take
// effect, or may never.
const (
	Unknown Outcome = iota
	TookEffect
	NoEffect
)

// Entry is a key's value at a revision. A key that does not exist has revision
// zero.
type Entry struct {
	Value    []byte
	Revision int64
}

type opKind int

const (
	opReadOwn opKind = iota
	opWriteOwn
	opReadAssignment
	opWriteAssignment
	opReadRecord
	opWriteRecord
	opCheckReceiver
)

// operation is a call to the key-value service that has no answer yet.
type operation struct {
	kind       opKind
	vm         string
	sent       clock.Reading
	expected   int64
	record     Record
	assignment Assignment
	transfer   slotTransfer
}

func (m *Machine) recordKey(vm string) string {
	return m.cfg.Prefix + "vms/" + vm
}

func (m *Machine) assignmentKey() string {
	return m.cfg.Prefix + "assignment"
}

func (m *Machine) read(key string, op operation) {
	m.stats.Reads++
	number := m.nextNumber()
	m.ops[number] = op
	m.emit(Read{Op: number, Key: key})
}

func (m *Machine) write(key string, value []byte, op operation) {
	m.stats.Writes++
	number := m.nextNumber()
	m.ops[number] = op
	m.emit(Write{Op: number, Key: key, Expected: op.expected, Value: value})
}

// ReadDone passes in the result of a Read. The entry is nil if the service did not
// answer.
func (m *Machine) ReadDone(now clock.Reading, number uint64, entry *Entry) {
	op, open := m.ops[number]
	if !open {
		return
	}
	delete(m.ops, number)
	switch op.kind {
	case opReadOwn:
		m.own.callInFlight = false
		if entry != nil {
			m.onOwnRecord(now, *entry)
		}
	case opReadAssignment:
		m.assignment.callInFlight = false
		if entry != nil {
			m.onAssignment(*entry)
		}
	case opReadRecord:
		m.recordPollOf(op.vm).callInFlight = false
		if entry != nil {
			m.onRecord(now, op.vm, *entry)
		}
	case opCheckReceiver:
		m.assignment.callInFlight = false
		if entry != nil {
			m.onReceiverRecord(now, op.transfer, *entry)
		}
	}
}

// WriteDone passes in the result of a Write. current is the entry that conflicted with the
// write, nil if unknown.
func (m *Machine) WriteDone(now clock.Reading, number uint64, outcome Outcome, revision int64, current *Entry) {
	op, open := m.ops[number]
	if !open {
		return
	}
	delete(m.ops, number)
	switch op.kind {
	case opWriteOwn:
		m.own.callInFlight = false
		m.onOwnRecordWritten(now, op, outcome, revision)
	case opWriteAssignment:
		m.assignment.callInFlight = false
		m.onAssignmentWritten(now, op, outcome, revision)
	case opWriteRecord:
		m.recordPollOf(op.vm).callInFlight = false
		m.onConsentWritten(op, outcome, current)
	}
}

// Observe passes in an entry that a watch delivered.
func (m *Machine) Observe(key string, entry Entry) {
	if key == m.assignmentKey() {
		m.onAssignment(entry)
	}
}

// AssignmentKey returns the key of the assignment, which the caller should watch.
func (m *Machine) AssignmentKey() string {
	return m.assignmentKey()
}
