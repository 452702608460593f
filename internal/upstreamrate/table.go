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

// Unlimited is the rate in requests per second of an upstream that names none: more than any upstream takes. It is finite
// for the sake of VMs that know no brittle upstreams, and compute with it.
const Unlimited = 1e6

// Limit is what is known of an upstream's limits.
type Limit struct {
	// PerSecond is the number of requests per second that the upstream takes from all VMs together, Unlimited if it names
	// none.
	PerSecond float64
	// Brittle means that the upstream falls over if it has to reject more than MaxRejections requests in a second.
	Brittle       bool
	MaxRejections int
	// Ended means that the upstream has ceased to name any limit.
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
	case l.PerSecond != other.PerSecond:
		return l.PerSecond < other.PerSecond
	case l.Brittle != other.Brittle:
		return l.Brittle
	}
	return l.MaxRejections < other.MaxRejections
}

// named returns the limit after an answer. Of what the answer does not name, that stays which it does not show to have ended.
func (l Limit) named(by upstream.RateLimit) Limit {
	next := Limit{PerSecond: Unlimited, Brittle: by.Brittle, MaxRejections: by.MaxRejections}
	switch {
	case by.Named:
		next.PerSecond = by.PerSecond
	case by.RateUnknown && l.Rated():
		next.PerSecond = l.PerSecond
	}
	if !by.Brittle && by.BrittleUnknown && !l.Ended {
		next.Brittle, next.MaxRejections = l.Brittle, l.MaxRejections
	}
	if next.PerSecond == Unlimited && !next.Brittle {
		return Limit{Ended: true}
	}
	return next
}

// Rated reports whether the upstream names a rate limit.
func (l Limit) Rated() bool { return !l.Ended && l.PerSecond < Unlimited }

// Table holds the limits that upstreams have named.
type Table struct {
	entries map[Key]*entry
	// denials holds until when this VM asks for no permits.
	denials map[Key]denial
	// version counts the changes.
	version uint64
}

type entry struct {
	limit Limit
	// learnedAt is when this VM last learned that the limit is in force.
	learnedAt time.Time
	// changedAt is the version of the table at which the limit last changed.
	changedAt uint64
	// confirmedAt is the version of the table at which this VM last learned that the limit is in force.
	confirmedAt uint64
	// unknownSince is since when the upstream has not been known, zero if it is known.
	unknownSince time.Time
	// permits holds the permits that this VM may issue.
	permits bucket
}

// denial says from when a permit may be available for a request that no other upstream can take, and for any other request.
type denial struct{ neededAt, spareAt time.Time }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[Key]*entry), denials: make(map[Key]denial)} }

// Observe records what an answer to a request sent at sentAt says about the limit, and reports whether
// that is a change. What an answer does not name ends only if its request was sent after the limit
// was last known to be in force: answers on different connections may overtake each other.
func (t *Table) Observe(k Key, by upstream.RateLimit, sentAt, now time.Time) (changed bool) {
	e, before := t.entries[k], Limit{Ended: true}
	if e != nil {
		before = e.limit
		overtaken := !sentAt.After(e.learnedAt)
		by.RateUnknown = by.RateUnknown || overtaken
		by.BrittleUnknown = by.BrittleUnknown || overtaken
	}
	next := before.named(by)
	next.Revision = before.Revision
	switch {
	case next.Ended && before.Ended:
		return false
	case next != before:
		next.Revision++
		t.set(k, next, now)
		return true
	case by.Named || by.Brittle:
		e.learnedAt, e.confirmedAt = now, t.version
	}
	return false
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
	e.limit, e.learnedAt = l, now
	e.changedAt, e.confirmedAt = t.version, t.version
	delete(t.denials, k)
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
	maps.DeleteFunc(t.denials, func(k Key, _ denial) bool { return !known(k) })
}
