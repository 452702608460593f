package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// This file holds how VMs tell each other which upstreams are draining or gone. A VM that has started
// since, or was cut off from the store, gets entries that do not show it.

// addDepartures adds to a report the departures of upstreams that the receiver has not acknowledged, and
// acknowledges what was applied of the receiver's. It must be called with the lock held.
func (m *member) addDepartures(out *peerpb.VMReport, d *departures) {
	out.DeparturesSince, out.DeparturesAcknowledged = m.departuresAcknowledged, m.departuresApplied
	out.Departures, out.DeparturesVersion = d.since(m.departuresAcknowledged, time.Now())
}

// applyDepartures applies the departures that a member reports.
func (f *fleet) applyDepartures(m *member, r *peerpb.VMReport, now time.Time) {
	f.process.applyPeerDepartures(r.Departures, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.DeparturesSince <= m.departuresApplied && r.DeparturesVersion > m.departuresApplied {
		m.departuresApplied = r.DeparturesVersion
	}
}

// applyPeerDepartures records departures that another VM tells, and marks the known ones of these
// instances as draining.
func (p *Process) applyPeerDepartures(told []*peerpb.Departure, now time.Time) {
	if len(told) == 0 {
		return
	}
	knownAt := now.Add(-p.tracker.viewAge())
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	known := *p.instances.Load()
	changes := make(map[string]*upstream.Instance)
	for _, t := range told {
		if t == nil {
			continue
		}
		kind, lastKnown := kindRemoved, now.Add(-time.Duration(t.UnknownMs)*time.Millisecond)
		if t.Draining {
			kind = kindDraining
		}
		told := departure{kind: kind, goneAt: lastKnown, seenAt: store.Revision(t.Revision)}
		if p.knowsReturn(t.Incarnation, told, knownAt, now) {
			continue
		}
		p.recordDeparture(t.Incarnation, kind, told.seenAt, lastKnown, sourceReport)
		i := known[instanceOf(t.Incarnation)]
		if i != nil && !i.Draining && i.IncarnationID() == t.Incarnation {
			changes[i.ID] = asDraining(i)
		}
	}
	p.applyInstances(changes)
}

// knowsReturn reports whether this VM's entry shows that an incarnation has returned since a departure. It must be
// called with instancesMu held.
func (p *Process) knowsReturn(incarnation string, left departure, knownAt, now time.Time) bool {
	id := instanceOf(incarnation)
	if p.entries.byID[id].incarnation != incarnation {
		return false
	}
	return left.endedBy(p.entries.evidence(id, knownAt, now)) != ""
}
