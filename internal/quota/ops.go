package quota

import (
	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// Outcome says what is known of a write.
type Outcome int

// A write has one of three outcomes. Unknown means that it may have taken
// effect, may still do so, or may never.
const (
	Unknown Outcome = iota
	TookEffect
	DidNot
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
	opReadShares
	opWriteShares
	opReadRecord
	opWriteRecord
	opCheckReceiver
)

// operation is a call to the key-value service without an answer.
type operation struct {
	kind     opKind
	vm       string
	sent     clock.Reading
	expected int64
	record   Record
	shares   Assignment
	give     move
}

func (m *Machine) recordKey(vm string) string {
	return m.cfg.Prefix + "vms/" + vm
}

func (m *Machine) sharesKey() string {
	return m.cfg.Prefix + "assignment"
}

func (m *Machine) read(key string, op operation) {
	m.stats.Reads++
	number := m.nextNumber()
	m.ops[number] = op
	m.do(Read{Op: number, Key: key})
}

func (m *Machine) write(key string, value []byte, op operation) {
	m.stats.Writes++
	number := m.nextNumber()
	m.ops[number] = op
	m.do(Write{Op: number, Key: key, Expected: op.expected, Value: value})
}

// ReadDone answers a Read. The entry is nil if the service gave no answer.
func (m *Machine) ReadDone(now clock.Reading, number uint64, entry *Entry) {
	op, open := m.ops[number]
	if !open {
		return
	}
	delete(m.ops, number)
	switch op.kind {
	case opReadOwn:
		m.own.busy = false
		if entry != nil {
			m.onOwnRecord(now, *entry)
		}
	case opReadShares:
		m.shares.busy = false
		if entry != nil {
			m.onShares(*entry)
		}
	case opReadRecord:
		m.dutyOf(op.vm).busy = false
		if entry != nil {
			m.onRecord(now, op.vm, *entry)
		}
	case opCheckReceiver:
		m.shares.busy = false
		if entry != nil {
			m.onReceiver(now, op.give, *entry)
		}
	}
}

// Wrote answers a Write. Current is the entry that stood in the way, if known.
func (m *Machine) Wrote(now clock.Reading, number uint64, outcome Outcome, revision int64, current *Entry) {
	op, open := m.ops[number]
	if !open {
		return
	}
	delete(m.ops, number)
	switch op.kind {
	case opWriteOwn:
		m.own.busy = false
		m.onOwnWritten(now, op, outcome, revision)
	case opWriteShares:
		m.shares.busy = false
		m.onSharesWritten(now, op, outcome, revision)
	case opWriteRecord:
		m.dutyOf(op.vm).busy = false
		m.onConsentWritten(op, outcome, current)
	}
}

// Observe takes in an entry that a watch delivered.
func (m *Machine) Observe(key string, entry Entry) {
	if key == m.sharesKey() {
		m.onShares(entry)
	}
}

// AssignmentKey is the key that is worth watching.
func (m *Machine) AssignmentKey() string {
	return m.sharesKey()
}
