package kvtest

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// Grant creates a lease that expires by the supplied clock.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Leases++
	if err := m.ready(); err != nil {
		return kv.NoLease, err
	}
	m.lastID++
	m.leases[m.lastID] = lease{ttl: ttl, expires: m.now().Add(ttl)}
	return m.lastID, nil
}

// KeepAlive renews a lease.
func (m *Memory) KeepAlive(_ context.Context, id kv.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Leases++
	if err := m.ready(); err != nil {
		return err
	}
	l, ok := m.leases[id]
	if !ok {
		return errors.Wrapf(kv.ErrLeaseGone, "%d", id)
	}
	l.expires = m.now().Add(l.ttl)
	m.leases[id] = l
	return nil
}

// Revoke ends a lease and deletes its keys.
func (m *Memory) Revoke(_ context.Context, id kv.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Leases++
	if err := m.ready(); err != nil {
		return err
	}
	m.endLease(id)
	return nil
}

// expire ends the leases whose time to live has passed, and removes the watches
// whose context has ended. Leases expire during an outage too, because the
// service's clock keeps running while its clients cannot reach it.
func (m *Memory) expire() {
	now := m.now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
	kept := m.watchers[:0]
	for _, w := range m.watchers {
		if w.ctx.Err() != nil {
			close(w.out)
			continue
		}
		kept = append(kept, w)
	}
	m.watchers = kept
}

func (m *Memory) endLease(id kv.LeaseID) {
	delete(m.leases, id)
	for key, r := range m.records {
		if r.lease != id {
			continue
		}
		delete(m.records, key)
		m.revision++
		m.notify(kv.Entry{Key: key, Revision: m.revision})
	}
}

// Watch delivers the key's entries after a revision. Only the newest value is
// stored, so a watch from an earlier revision begins with the current value.
func (m *Memory) Watch(ctx context.Context, key string, after int64) (<-chan kv.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Watches++
	if err := m.ready(); err != nil {
		return nil, err
	}
	w := &watcher{ctx: ctx, key: key, out: make(chan kv.Entry, watchBuffer)}
	m.watchers = append(m.watchers, w)
	if r, ok := m.records[key]; ok && r.entry.Revision > after && !m.faults.SilentWatch {
		w.out <- copyEntry(r.entry)
	}
	// The watch must end with its context even if no further write occurs.
	context.AfterFunc(ctx, m.Step)
	return w.out, nil
}

func (m *Memory) notify(e kv.Entry) {
	if m.faults.SilentWatch {
		return
	}
	kept := m.watchers[:0]
	for _, w := range m.watchers {
		if w.key != e.Key {
			kept = append(kept, w)
			continue
		}
		select {
		case w.out <- copyEntry(e):
			kept = append(kept, w)
		default:
			close(w.out)
		}
	}
	m.watchers = kept
}
