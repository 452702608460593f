package vm

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// instanceEntries caches the parsed instance entries of the store, by instance ID. The view of a
// large fleet has thousands of entries and changes several times a second in a few of them. Parsed
// instances are not modified.
type instanceEntries struct {
	parse func(store.Item) (*upstream.Instance, error)
	byID  map[string]instanceEntry
	// firstOfEra is the revision of the first view in the present era. An entry up to it may be one that the store has
	// from a copy, whose instance is gone. Such an entry ends within copyLifetime.
	firstOfEra   store.Revision
	copyLifetime time.Duration
	// minLifetime is the shortest time for which the store has the entry of an instance that does not leave by itself.
	minLifetime time.Duration
}

// instanceEntry is one revision of an entry; instance is nil if the entry cannot be parsed. readAt is when this VM has
// first read it.
type instanceEntry struct {
	revision store.Revision
	readAt   time.Time
	// writtenAfter is a time before the store executed the write.
	writtenAfter time.Time
	instance     *upstream.Instance
	incarnation  string
}

const (
	// copyHeartbeats is the number of heartbeats within which an entry ends whose instance does not write: three of
	// silence, and one more for the way here.
	copyHeartbeats = 4
	// minHeartbeats is the number of heartbeats for which an entry lasts whose instance has written once.
	minHeartbeats = 3
	// defaultHeartbeat applies if the platform names no interval of heartbeats.
	defaultHeartbeat = 1200 * time.Millisecond
)

func newInstanceEntries(parse func(store.Item) (*upstream.Instance, error), heartbeat time.Duration) *instanceEntries {
	if heartbeat == 0 {
		heartbeat = defaultHeartbeat
	}
	return &instanceEntries{parse: parse, byID: make(map[string]instanceEntry), copyLifetime: copyHeartbeats * heartbeat, minLifetime: minHeartbeats * heartbeat}
}

// recordEra notes the revision of a view. It has to be called before the view's entries are read.
func (e *instanceEntries) recordEra(revision store.Revision) {
	if e.firstOfEra == 0 || revision.Era() > e.firstOfEra.Era() {
		e.firstOfEra = revision
	}
}

// isUnreadable reports whether the store has an entry of an instance that cannot be parsed.
func (e *instanceEntries) isUnreadable(id string) bool {
	entry, ok := e.byID[id]
	return ok && entry.instance == nil
}

// isWritten reports whether the instance of an entry is known to have kept it up in the present era, so that it is not
// what the store has from a copy.
func (e *instanceEntries) isWritten(id string, now time.Time) bool {
	entry := e.byID[id]
	return entry.revision > e.firstOfEra || now.Sub(entry.readAt) >= e.copyLifetime
}

// evidence returns what an instance's entry shows, with a view that is complete as of knownAt.
func (e *instanceEntries) evidence(id string, knownAt, now time.Time) entryEvidence {
	entry := e.byID[id]
	return entryEvidence{
		revision: entry.revision, writtenAfter: entry.writtenAfter, knownAt: knownAt, lifetime: e.copyLifetime, ownEra: e.isWritten(id, now),
	}
}

// update parses the entries that have changed and drops those that are gone. It returns the IDs of
// both, the incarnations whose entries were removed and written again meanwhile, with the last revision before that, and an
// error for each changed entry that cannot be parsed.
func (e *instanceEntries) update(items map[string]store.Item, d viewDelta, now time.Time) (changed []string, recreated map[string]store.Revision, unreadable []error) {
	recreated = make(map[string]store.Revision)
	for _, key := range d.removed {
		if id, ok := platform.InstanceID(key); ok {
			delete(e.byID, id)
			changed = append(changed, id)
		}
	}
	for _, key := range d.changed {
		id, ok := platform.InstanceID(key)
		if !ok {
			continue
		}
		entry, err := e.read(items[key], now)
		entry.writtenAfter = d.from
		if err != nil {
			unreadable = append(unreadable, err)
		}
		if created := items[key].Created; entry.recreates(e.byID[id], created) {
			recreated[entry.incarnation] = created - 1
		}
		e.byID[id] = entry
		changed = append(changed, id)
	}
	return changed, recreated, unreadable
}

// recreates reports whether the entry, whose key was created at a revision, describes the same incarnation as the entry
// before but was removed since. In a later era of the store all keys are later.
func (e instanceEntry) recreates(before instanceEntry, created store.Revision) bool {
	return before.instance != nil && before.incarnation == e.incarnation && created > before.revision && created.Era() == before.revision.Era()
}

// revisionsOf returns the revisions of the entries with the given keys, by instance ID.
func (e *instanceEntries) revisionsOf(keys []string) map[string]store.Revision {
	out := make(map[string]store.Revision)
	for _, key := range keys {
		if id, ok := platform.InstanceID(key); ok {
			out[id] = e.byID[id].revision
		}
	}
	return out
}

func (e *instanceEntries) read(item store.Item, now time.Time) (instanceEntry, error) {
	entry := instanceEntry{revision: item.Revision, readAt: now}
	i, err := e.parse(item)
	if err != nil {
		return entry, err
	}
	if i.ColdFor > 0 {
		i.ColdUntil = now.Add(i.ColdFor)
	}
	entry.instance, entry.incarnation = i, i.IncarnationID()
	return entry, nil
}

// setInstances updates the instances from a view of the store, whose evacuations have changed or not.
// An instance is looked at if its entry has changed, if it is draining, or if its departure is remembered:
// it may be used again.
func (p *Process) setInstances(v view, d viewDelta, evacuationsChanged bool) {
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	now := time.Now()
	gone := kindRemoved
	if p.tracker.outageWithin(now, lapseNoticeTime) {
		gone = kindLapsed
	}
	removed := p.entries.revisionsOf(d.removed)
	p.entries.recordEra(v.revision)
	ids, recreated, unreadable := p.entries.update(v.items, d, now)
	for incarnation, revision := range recreated {
		p.recordDeparture(incarnation, gone, revision, now, sourceRecreation)
	}
	for _, err := range unreadable {
		p.log.Debug().Str("event", "instance_unreadable").AnErr("cause", err).Send()
	}
	if evacuationsChanged {
		ids = slices.Collect(maps.Keys(p.entries.byID))
	}
	ids = append(ids, p.departures.instances()...)
	ids = slices.AppendSeq(ids, maps.Keys(p.drainingInstances))
	slices.Sort(ids)
	if !d.from.IsZero() && d.to.Sub(d.from) >= p.entries.minLifetime {
		p.versions.Restart(now)
	}
	previous := *p.instances.Load()
	changes := make(map[string]*upstream.Instance)
	for _, id := range slices.Compact(ids) {
		old := previous[id]
		next := p.currentInstance(id, old, v.revision, d.to, now)
		if old != nil && next == nil && p.entries.isUnreadable(id) {
			p.recordUnlisted(old, now)
		} else if old != nil && (next == nil || !next.SameIncarnation(old)) {
			p.recordGone(old, gone, removed[id], max(v.leasedRevision, p.entries.byID[id].revision), now)
		}
		if next != old {
			changes[id] = next
		}
	}
	p.applyInstances(changes)
	p.departures.retain(p.knowsIncarnation, now)
}

// knowsIncarnation reports whether an incarnation of an instance is known.
func (p *Process) knowsIncarnation(incarnation string) bool {
	i := p.instance(instanceOf(incarnation))
	return i != nil && i.IncarnationID() == incarnation
}

// currentInstance returns an instance as its entry, its departure and the evacuations tell, nil if it
// has no readable entry. known is the instance as it is used; the view is of a revision, and complete as of knownAt.
// It must be called with instancesMu held.
func (p *Process) currentInstance(id string, known *upstream.Instance, revision store.Revision, knownAt, now time.Time) *upstream.Instance {
	entry := p.entries.byID[id]
	i := entry.instance
	if i == nil {
		return nil
	}
	if known != nil && i.Incarnation < known.Incarnation && !p.entries.isWritten(id, now) {
		// The store has an earlier incarnation from a copy, and the one that is known writes its entry again.
		return p.evacuations.apply(known)
	}
	if i.Draining {
		p.recordDeparture(entry.incarnation, kindDraining, revision, now, sourceEntry)
		return p.evacuations.apply(i)
	}
	excluded, readmitted := p.departures.excluded(entry.incarnation, p.entries.evidence(id, knownAt, now))
	if excluded {
		i = asDraining(i)
	}
	p.logReadmission(id, entry, readmitted, now)
	return p.evacuations.apply(i)
}

// recordGone records how an instance, whose entry was last written at a revision, has left the
// view, which is that of a later revision. An earlier one is the view of a hub that has not seen the entry yet.
func (p *Process) recordGone(old *upstream.Instance, kind departureKind, written, revision store.Revision, now time.Time) {
	if written <= revision {
		p.recordDeparture(old.IncarnationID(), kind, revision, now, sourceRemoval)
	}
	p.recordUnlisted(old, now)
}

// recordUnlisted records that an instance is no longer used. An entry that another writer has made unreadable is no
// departure: the instance writes it again.
func (p *Process) recordUnlisted(old *upstream.Instance, now time.Time) {
	p.versions.RecordLeft(old.Service, old.SoftwareVersion, now)
	p.recordEnded(old, time.Now())
	p.replicas.Pool.CloseIdle(old.Address)
	p.log.Info().Str("event", "instance_gone").Str("instance", old.ID).Str("address", old.Address).Send()
}

// lapseNoticeTime is how long after an outage of the store an entry may disappear because its lease has ended in the
// outage: such entries are kept for lapsedGrace, and hubs and their followers notice the end of that later.
const lapseNoticeTime = lapsedGrace + 800*time.Millisecond

// applyInstances changes the table of instances that requests are routed by; a nil instance is removed.
// It must be called with instancesMu held.
func (p *Process) applyInstances(changes map[string]*upstream.Instance) {
	if len(changes) == 0 {
		return
	}
	previous := *p.instances.Load()
	quiet := p.summarizeInstances(previous, changes)
	next := maps.Clone(previous)
	var changed []*upstream.Instance
	var removed []string
	for id, i := range changes {
		delete(p.drainingInstances, id)
		if i == nil {
			delete(next, id)
			removed = append(removed, id)
			continue
		}
		if i.Draining {
			p.drainingInstances[id] = true
		}
		p.logInstance(previous[id], i, quiet)
		next[id] = i
		changed = append(changed, i)
	}
	p.instances.Store(&next)
	p.assigner.UpdateInstances(changed, removed)
	p.assigner.RetainRateLimits(time.Now())
}

// summarizeInstances logs how many instances are new, if there are many, and reports whether it did: when
// thousands of upstreams start, each of hundreds of VMs would log a line for each.
func (p *Process) summarizeInstances(previous, changes map[string]*upstream.Instance) bool {
	added := 0
	for id, i := range changes {
		if i != nil && !i.Draining && previous[id] == nil {
			added++
		}
	}
	if added <= maxIndividualLogs {
		return false
	}
	p.log.Info().Str("event", "instances_known").Int("count", added).Int("before", len(previous)).Send()
	return true
}

// logInstance logs an instance that is new or whose state has changed. quiet leaves out new ones that are
// ready.
func (p *Process) logInstance(old, i *upstream.Instance, quiet bool) {
	if quiet && old == nil && !i.Draining {
		return
	}
	if old == nil || !old.SameIncarnation(i) || old.Draining != i.Draining {
		p.log.Info().Str("event", "instance").Str("instance", i.ID).Str("service", i.Service).
			Str("address", i.Address).Bool("draining", i.Draining).Int64("born", i.Incarnation).Str("version", i.SoftwareVersion).Send()
	}
}

// entryState returns the revision of an instance's entry, and the time since this VM first read it.
func (p *Process) entryState(id string) (store.Revision, time.Duration) {
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	entry := p.entries.byID[id]
	return entry.revision, time.Since(entry.readAt)
}

// hasDeparted reports whether the instance that a key of the view describes is known to have left after
// its entry was written.
func (p *Process) hasDeparted(key string) bool {
	id, ok := platform.InstanceID(key)
	if !ok {
		return false
	}
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	entry := p.entries.byID[id]
	return entry.instance != nil && p.departures.supersedes(entry.incarnation, entry.revision)
}

// recordSuperseded records what states of instances tell that the store had replaced by the time this VM
// read them.
func (p *Process) recordSuperseded(items []store.Item) {
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	for _, item := range items {
		i, err := p.entries.parse(item)
		if err == nil && i.Draining {
			p.recordDeparture(i.IncarnationID(), kindDraining, item.Revision, time.Now(), sourceSuperseded)
		}
	}
}

// departureSource is the way by which this VM learned that an instance leaves, as logs and metrics name it.
type departureSource string

// The sources: the entry itself, its removal, an entry that was created after it was last read, a state of it that the store had replaced by the time this VM
// read it, a report of another VM, and an answer of the instance.
const (
	sourceEntry      departureSource = "entry"
	sourceRemoval    departureSource = "removal"
	sourceRecreation departureSource = "recreation"
	sourceSuperseded departureSource = "superseded"
	sourceReport     departureSource = "report"
	sourceAnswer     departureSource = "answer"
)

// recordDeparture records a departure, and logs it if it is new.
func (p *Process) recordDeparture(incarnation string, kind departureKind, revision store.Revision, lastKnown time.Time, source departureSource) {
	if !p.departures.record(incarnation, kind, revision, lastKnown) {
		return
	}
	p.incrementCounter("departures." + string(source))
	p.log.Info().Str("event", "departure").Str("instance", instanceOf(incarnation)).Str("incarnation", incarnation).Bool("draining", kind == kindDraining).Bool("lapsed", kind == kindLapsed).
		Str("source", string(source)).Stringer("revision", revision).Dur("known_ms", time.Since(lastKnown)).Send()
}

// logReadmission logs that an incarnation that was gone is used again.
func (p *Process) logReadmission(id string, entry instanceEntry, r readmission, now time.Time) {
	if r.reason == "" {
		return
	}
	p.incrementCounter("readmissions." + string(r.reason))
	p.log.Info().Str("event", "readmitted").Str("instance", id).Str("incarnation", entry.incarnation).Str("reason", string(r.reason)).
		Dur("gone_ms", now.Sub(r.goneAt)).Stringer("gone_revision", r.seenAt).Stringer("revision", entry.revision).Send()
}

// asDraining returns a copy of an instance that is marked as draining.
func asDraining(i *upstream.Instance) *upstream.Instance {
	copied := *i
	copied.Draining = true
	return &copied
}

// recordLeaving records that an instance itself says that it leaves, which the store may not know for as
// long as it is unavailable.
func (p *Process) recordLeaving(i *upstream.Instance) {
	incarnation := i.IncarnationID()
	if p.departures.isDraining(incarnation) {
		return
	}
	revision := p.tracker.viewRevision()
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	p.recordDeparture(incarnation, kindDraining, revision, time.Now(), sourceAnswer)
	known := (*p.instances.Load())[i.ID]
	if known != nil && known.SameIncarnation(i) && !known.Draining {
		p.applyInstances(map[string]*upstream.Instance{i.ID: asDraining(known)})
	}
}
