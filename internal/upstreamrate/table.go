package upstreamrate

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// retention is how long the limit of an upstream that is no longer known is kept. Entries of upstreams
// disappear for a while when the platform's store is away.
const retention = time.Minute

// Key identifies one incarnation of an upstream.
type Key struct {
	Instance    string
	Incarnation int64
}

// KeyOf returns the key of an instance.
func KeyOf(i *upstream.Instance) Key { return Key{Instance: i.ID, Incarnation: i.Incarnation} }

// Limit is what is known of an upstream's rate limit.
type Limit struct {
	// PerSecond is the number of requests per second that the upstream takes from all VMs together.
	PerSecond float64
	// Ended means that the upstream has ceased to name a limit.
	Ended bool
	// Revision is incremented by the VM that observes a change. Of two limits the one with the
	// higher revision is newer.
	Revision uint64
}

// supersedes reports whether a limit replaces another one: by its revision or, if two VMs have observed
// different changes at the same time, because it is the lower one.
func (l Limit) supersedes(other Limit) bool {
	switch {
	case l.Revision != other.Revision:
		return l.Revision > other.Revision
	case l.Ended != other.Ended:
		return other.Ended
	}
	return l.PerSecond < other.PerSecond
}

// Table holds the limits that upstreams have named.
type Table struct {
	entries map[Key]*entry
	// version counts the changes.
	version uint64
}

type entry struct {
	limit Limit
	// learnedAt is when this VM last learned that the limit is in force.
	learnedAt time.Time
	// changedAt is the version of the table at which the limit last changed.
	changedAt uint64
	// unknownSince is since when the upstream has not been known, zero if it is known.
	unknownSince time.Time
	// permits holds the permits that this VM may issue.
	permits bucket
	// neededAt and spareAt are from when a permit may be available for a request that no other
	// upstream can take, and for any other request.
	neededAt, spareAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Key]*entry)} }

// Observe records what an answer to a request sent at sentAt says about the limit, and reports whether
// that is a change. An answer that names no limit ends it only if its request was sent after the limit
// was last known to be in force: answers on different connections may overtake each other.
func (t *Table) Observe(k Key, named upstream.RateLimit, sentAt, now time.Time) (changed bool) {
	e := t.entries[k]
	if !named.Named {
		if e == nil || e.limit.Ended || !sentAt.After(e.learnedAt) {
			return false
		}
		t.set(k, Limit{Ended: true, Revision: e.limit.Revision + 1}, now)
		return true
	}
	if e != nil && !e.limit.Ended && e.limit.PerSecond == named.PerSecond {
		e.learnedAt = now
		return false
	}
	next := Limit{PerSecond: named.PerSecond, Revision: 1}
	if e != nil {
		next.Revision = e.limit.Revision + 1
	}
	t.set(k, next, now)
	return true
}

// Merge applies what another VM knows of a limit, and reports whether that is newer.
func (t *Table) Merge(k Key, l Limit, now time.Time) (changed bool) {
	e := t.entries[k]
	if e != nil && !l.supersedes(e.limit) {
		return false
	}
	t.set(k, l, now)
	return true
}

func (t *Table) set(k Key, l Limit, now time.Time) {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
	}
	t.version++
	e.limit, e.learnedAt, e.changedAt = l, now, t.version
	e.neededAt, e.spareAt = time.Time{}, time.Time{}
}

// Limit returns the limit in force at an upstream. ok is false if there is none.
func (t *Table) Limit(k Key) (l Limit, ok bool) {
	l, ok = t.Last(k)
	return l, ok && !l.Ended
}

// Last returns what is known of an upstream's limit, also if it has ended. ok is false if the upstream
// has never named one.
func (t *Table) Last(k Key) (l Limit, ok bool) {
	e := t.entries[k]
	if e == nil {
		return Limit{}, false
	}
	return e.limit, true
}

// IsEmpty reports whether the table holds no limits.
func (t *Table) IsEmpty() bool { return len(t.entries) == 0 }

// Retain removes the limits of upstreams that have not been known for a while.
func (t *Table) Retain(known func(Key) bool, now time.Time) {
	for k, e := range t.entries {
		if known(k) {
			e.unknownSince = time.Time{}
			continue
		}
		if e.unknownSince.IsZero() {
			e.unknownSince = now
		}
	}
	maps.DeleteFunc(t.entries, func(_ Key, e *entry) bool {
		return !e.unknownSince.IsZero() && now.Sub(e.unknownSince) > retention
	})
}
