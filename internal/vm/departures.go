package vm

import (
	"strings"
	"sync"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
)

const (
	// departureRetention is how long an incarnation that left is remembered after its entry was last
	// known, longer than an instance goes on serving after it has left. It is forgotten earlier if it
	// is used again.
	departureRetention = 30 * time.Second
	// maxWriteDelay bounds the time until the store executes a write that it has not answered, and the time until
	// this VM reads it. A heartbeat that is executed sooner after a removal may have been sent before it.
	maxWriteDelay = 7 * time.Second
)

// departureKind is how an incarnation left. A later kind replaces an earlier one.
type departureKind uint8

const (
	// kindLapsed means that the entry disappeared about the end of an outage of the store, in which the lease of a
	// live instance can have ended.
	kindLapsed departureKind = iota
	// kindRemoved means that the entry was removed: the instance has left, or was cut off from the store.
	kindRemoved
	// kindDraining means that the instance has said that it leaves.
	kindDraining
)

// departures remembers incarnations that were seen draining or gone, whether the store, the upstream
// itself or another VM told so. A draining one is not used again while it is remembered. One whose entry
// was removed may only have been cut off from the store, and is used again once its entry shows that it
// has written after the removal.
type departures struct {
	mu            sync.Mutex
	byIncarnation map[string]*departure
	// version counts the changes that other VMs have to be told.
	version uint64
}

type departure struct {
	kind departureKind
	// lastKnown is when the incarnation was last known, goneAt when it had left at the latest.
	lastKnown, goneAt time.Time
	// seenAt is the revision of the store at which it was seen. Entries up to that revision are older.
	seenAt store.Revision
	// changedAt is the version at which it last changed.
	changedAt uint64
}

// entryEvidence is what the present revision of an instance's entry shows.
type entryEvidence struct {
	revision store.Revision
	// writtenAfter is a time before the store executed the write, knownAt the time as of which the store has the entry.
	writtenAfter, knownAt time.Time
	// lifetime is how long an entry lasts at most that its instance does not keep up.
	lifetime time.Duration
	// ownEra reports that the instance has kept the entry up in the era of its revision: the store may have it from a copy.
	ownEra bool
}

// readmission tells why an incarnation that was gone is used again.
type readmission struct {
	reason readmissionReason
	// goneAt is when the incarnation had left at the latest, seenAt the revision of the store at which that was seen.
	goneAt time.Time
	seenAt store.Revision
}

// readmissionReason is why an incarnation is used again, as logs and metrics name it; empty if it is not.
type readmissionReason string

// The reasons: its lease may have ended in an outage and its entry is back, the entry was written by a call that was sent
// after the removal, or the entry lasts longer than one that nobody keeps up.
const (
	reasonOutage readmissionReason = "outage"
	reasonWrite  readmissionReason = "write"
	reasonLease  readmissionReason = "lease"
)

func newDepartures() *departures { return &departures{byIncarnation: make(map[string]*departure)} }

// instanceOf returns the ID of the instance that an incarnation belongs to.
func instanceOf(incarnation string) string {
	id := incarnation
	for range 2 {
		if at := strings.LastIndexByte(id, '@'); at >= 0 {
			id = id[:at]
		}
	}
	return id
}

// record notes that an incarnation, last known at a time, left at a revision of the store. It reports
// whether that is new.
func (d *departures) record(incarnation string, kind departureKind, revision store.Revision, lastKnown time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byIncarnation[incarnation]
	switch {
	case e == nil:
		e = &departure{kind: kind, lastKnown: lastKnown, goneAt: lastKnown, seenAt: revision}
		d.byIncarnation[incarnation] = e
	case e.kind == kindDraining:
		return false
	case kind == kindDraining:
		e.kind = kind
	case kind > e.kind || revision > e.seenAt:
		e.kind, e.seenAt = max(kind, e.kind), max(revision, e.seenAt)
		e.goneAt = later(e.goneAt, lastKnown)
	default:
		return false
	}
	d.version++
	e.changedAt = d.version
	return true
}

// retain forgets the incarnations that have not been known for a while.
func (d *departures) retain(known func(incarnation string) bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for n, e := range d.byIncarnation {
		switch {
		case known(n):
			e.lastKnown = now
		case now.Sub(e.lastKnown) > departureRetention:
			delete(d.byIncarnation, n)
		}
	}
}

// isDraining reports whether an incarnation is known to be draining.
func (d *departures) isDraining(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byIncarnation[incarnation]
	return e != nil && e.kind == kindDraining
}

// excluded reports whether an incarnation must get no work although its entry says that it is
// ready. It forgets an incarnation that may be used again, and returns the reason.
func (d *departures) excluded(incarnation string, shown entryEvidence) (bool, readmission) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byIncarnation[incarnation]
	if e == nil {
		return false, readmission{}
	}
	reason := e.endedBy(shown)
	if reason == "" {
		return true, readmission{}
	}
	delete(d.byIncarnation, incarnation)
	return false, readmission{reason: reason, goneAt: e.goneAt, seenAt: e.seenAt}
}

// endedBy returns why the incarnation may be used again although it was seen leaving, empty if it may not.
// An entry from before the departure shows nothing: a VM that was cut off may still have it, or get it from
// a hub that was, and the store may have it from a copy. Nor does a write that may have been sent before the departure.
func (e *departure) endedBy(shown entryEvidence) readmissionReason {
	switch {
	case e.kind == kindDraining || shown.revision <= e.seenAt:
		return ""
	case shown.revision.Era() > e.seenAt.Era() && !shown.ownEra:
		return ""
	case e.kind == kindLapsed:
		return reasonOutage
	case shown.writtenAfter.Sub(e.goneAt) >= maxWriteDelay:
		return reasonWrite
	case shown.knownAt.Sub(e.goneAt) >= maxWriteDelay+shown.lifetime:
		return reasonLease
	}
	return ""
}

// supersedes reports whether an incarnation is known to have left after a revision of its entry was written.
func (d *departures) supersedes(incarnation string, revision store.Revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.byIncarnation[incarnation]
	return e != nil && revision <= e.seenAt
}

// since returns the departures that have changed since a version, and the present version.
func (d *departures) since(version uint64, now time.Time) (out []*peerpb.Departure, current uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version == d.version {
		return nil, d.version
	}
	for n, e := range d.byIncarnation {
		// That a lease may have ended in an outage is known to every VM that saw the outage.
		if e.changedAt > version && e.kind != kindLapsed {
			out = append(out, &peerpb.Departure{
				Incarnation: n, Draining: e.kind == kindDraining, Revision: int64(e.seenAt), UnknownMs: now.Sub(e.lastKnown).Milliseconds(),
			})
		}
	}
	return out, d.version
}

// instances returns the IDs of the instances whose departure is remembered.
func (d *departures) instances() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]string, 0, len(d.byIncarnation))
	for n := range d.byIncarnation {
		out = append(out, instanceOf(n))
	}
	return out
}
