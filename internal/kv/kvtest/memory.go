package kvtest

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// Faults selects the faults to inject. Each affected call decrements a counter by
// one.
type Faults struct {
	// Outage makes every call fail as if it had never been sent.
	Outage bool
	// LoseRequests is the number of next writes that never arrive. Their outcome
	// is Unknown.
	LoseRequests int
	// LoseAnswers is the number of next writes that are executed but whose
	// answers are lost. Their outcome is Unknown.
	LoseAnswers int
	// HoldRequests is the number of next writes that are delayed until Release is
	// called. Their outcome is Unknown.
	HoldRequests int
	// SilentWatch stops watches from delivering entries without closing them.
	SilentWatch bool
}

// Calls counts calls as the platform does: an open watch counts as one call.
type Calls struct {
	Reads   int
	Writes  int
	Leases  int
	Watches int
}

type record struct {
	entry kv.Entry
	lease kv.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type watcher struct {
	ctx context.Context
	key string
	out chan kv.Entry
}

type heldWrite struct {
	key      string
	expected int64
	value    []byte
	lease    kv.LeaseID
}

// watchBuffer is the number of entries that a watcher may leave unread before its
// watch is closed.
const watchBuffer = 64

// Memory is a kv.Store in memory. It is safe for concurrent use.
type Memory struct {
	mu       sync.Mutex
	now      func() time.Time
	revision int64
	records  map[string]record
	leases   map[kv.LeaseID]lease
	lastID   kv.LeaseID
	watchers []*watcher
	held     []heldWrite
	faults   Faults
	calls    Calls
	observe  func(kv.Entry)
}

var _ kv.Store = (*Memory)(nil)

// NewMemory returns an empty store. Leases expire by the supplied clock; nil
// means time.Now.
func NewMemory(now func() time.Time) *Memory {
	if now == nil {
		now = time.Now
	}
	return &Memory{
		now:     now,
		records: make(map[string]record),
		leases:  make(map[kv.LeaseID]lease),
	}
}

// Observe registers f to be called with every write that takes effect, in order
// and regardless of faults, so that an oracle can record them. f runs under the
// store's lock.
func (m *Memory) Observe(f func(kv.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe = f
}

// UpdateFaults modifies the injected faults under the store's lock.
func (m *Memory) UpdateFaults(edit func(*Faults)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	edit(&m.faults)
}

// Calls returns the calls counted so far.
func (m *Memory) Calls() Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Release executes every held write. pick determines the order by returning an
// index below n, the number of writes left; if it is nil, the oldest write is
// first.
func (m *Memory) Release(pick func(n int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.held) > 0 {
		i := 0
		if pick != nil {
			i = pick(len(m.held))
		}
		w := m.held[i]
		m.held = append(m.held[:i:i], m.held[i+1:]...)
		m.write(w)
	}
}

// Held returns the number of held writes.
func (m *Memory) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Step ends the leases that have expired by the clock, and removes the watches
// whose context has ended.
func (m *Memory) Step() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
}

// BreakWatches closes every open watch.
func (m *Memory) BreakWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range m.watchers {
		close(w.out)
	}
	m.watchers = nil
}

// Snapshot is a copy of a store's contents.
type Snapshot struct {
	revision int64
	records  map[string]record
}

// Snapshot returns a copy of the contents, as a backup would hold it.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{revision: m.revision, records: maps.Clone(m.records)}
}

// Restore replaces the contents by an earlier copy and closes every watch, as
// when the service is restored from a backup. The store's revision is reset too.
func (m *Memory) Restore(to Snapshot) {
	m.BreakWatches()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = to.revision
	m.records = maps.Clone(to.records)
}

// Get reads one key.
func (m *Memory) Get(_ context.Context, key string) (kv.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Reads++
	if err := m.ready(); err != nil {
		return kv.Entry{}, err
	}
	r, ok := m.records[key]
	if !ok {
		return kv.Entry{}, errors.Wrap(kv.ErrNotFound, key)
	}
	return copyEntry(r.entry), nil
}

// Revision reads the key's revision.
func (m *Memory) Revision(_ context.Context, key string) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Reads++
	if err := m.ready(); err != nil {
		return 0, err
	}
	return m.records[key].entry.Revision, nil
}

// CompareAndSwap writes value if the key's revision is expected.
func (m *Memory) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, id kv.LeaseID) (kv.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Writes++
	if len(value) > kv.MaxValueBytes {
		return kv.Result{Outcome: kv.NoEffect}, errors.Wrap(kv.ErrTooLarge, key)
	}
	if err := m.ready(); err != nil {
		return kv.Result{Outcome: kv.NoEffect}, err
	}
	w := heldWrite{key: key, expected: expected, value: append([]byte{}, value...), lease: id}
	switch {
	case m.faults.LoseRequests > 0:
		m.faults.LoseRequests--
		return kv.Result{Outcome: kv.Unknown}, nil
	case m.faults.HoldRequests > 0:
		m.faults.HoldRequests--
		m.held = append(m.held, w)
		return kv.Result{Outcome: kv.Unknown}, nil
	case m.faults.LoseAnswers > 0:
		m.faults.LoseAnswers--
		m.write(w)
		return kv.Result{Outcome: kv.Unknown}, nil
	}
	return m.write(w), nil
}

func (m *Memory) write(w heldWrite) kv.Result {
	r, ok := m.records[w.key]
	if r.entry.Revision != w.expected {
		result := kv.Result{Outcome: kv.NoEffect}
		if ok {
			current := copyEntry(r.entry)
			result.Current = &current
		}
		return result
	}
	if _, live := m.leases[w.lease]; w.lease != kv.NoLease && !live {
		return kv.Result{Outcome: kv.NoEffect}
	}
	m.revision++
	entry := kv.Entry{Key: w.key, Value: w.value, Revision: m.revision}
	m.records[w.key] = record{entry: entry, lease: w.lease}
	m.notify(entry)
	if m.observe != nil {
		m.observe(copyEntry(entry))
	}
	return kv.Result{Outcome: kv.TookEffect, Revision: m.revision}
}

// ready ends expired leases and returns an error during an outage.
func (m *Memory) ready() error {
	m.expire()
	if m.faults.Outage {
		return errors.Wrap(kv.ErrUnavailable, "outage")
	}
	return nil
}

func copyEntry(e kv.Entry) kv.Entry {
	e.Value = append([]byte{}, e.Value...)
	return e
}
