package vm

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// evacuations holds the failure domains that the operator has asked to evacuate, as of one
// revision of the store. The set comes from this VM's view of the store, or from another VM whose
// set is newer. It is never replaced by an older one.
type evacuations struct {
	// phaseOut is how long upstreams of a domain may still get the requests that no other
	// upstream can take, after this VM has learned of the evacuation. maxNewsAge is the longest
	// time that the news may have taken.
	phaseOut, maxNewsAge time.Duration

	mu       sync.Mutex
	revision store.Revision
	// restoredUntil is until when a domain stays evacuated that the store did not name again since it came back from
	// a copy. named holds the domains that were named in the present era.
	restoredUntil time.Time
	named         map[string]bool
	// updatedAt is when a set of a later revision last arrived, changed or not.
	updatedAt time.Time
	// until holds the domains that are being evacuated, with the end of the phase-out.
	until map[string]time.Time
	// returned holds when this VM learned that the evacuation of a domain had ended.
	returned map[string]time.Time
}

// evacuationChange lists the domains whose evacuation a VM has just learned to have begun or ended.
type evacuationChange struct {
	begun, ended []string
}

func (c evacuationChange) isEmpty() bool { return len(c.begun) == 0 && len(c.ended) == 0 }

// newEvacuations returns an empty set. The platform counts the time for an evacuation from when the
// store accepted it; a VM may learn of it as late as of a configuration.
func newEvacuations(b platform.Bounds) *evacuations {
	return &evacuations{
		phaseOut: max(0, b.Evacuation-b.Configuration), maxNewsAge: b.Configuration, until: make(map[string]time.Time), returned: make(map[string]time.Time),
		named: make(map[string]bool),
	}
}

// update replaces the set by that of a view of the store, if it is of a later revision.
func (e *evacuations) update(revision store.Revision, domains []string, now time.Time) evacuationChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision < e.revision || (revision == e.revision && e.restoredUntil.IsZero()) {
		return evacuationChange{}
	}
	e.recordEra(revision, now)
	for _, domain := range domains {
		e.named[domain] = true
	}
	return e.replace(revision, domains, now)
}

// updateFromPeer replaces the set by one that another VM reports, if it is of a later revision.
func (e *evacuations) updateFromPeer(revision store.Revision, domains []string, now time.Time) evacuationChange {
	e.mu.Lock()
	defer e.mu.Unlock()
	if revision <= e.revision {
		return evacuationChange{}
	}
	e.recordEra(revision, now)
	return e.replace(revision, domains, now)
}

// replace replaces the set. It must be called with the lock held.
func (e *evacuations) replace(revision store.Revision, domains []string, now time.Time) evacuationChange {
	var change evacuationChange
	phaseOut := e.phaseOut
	if now.Sub(e.updatedAt) > e.maxNewsAge {
		// This VM has just started or was cut off: the evacuation may be older than the bound.
		phaseOut = 0
	}
	e.revision, e.updatedAt = revision, now
	for _, domain := range domains {
		if _, ok := e.until[domain]; !ok {
			e.until[domain] = now.Add(phaseOut)
			delete(e.returned, domain)
			change.begun = append(change.begun, domain)
		}
	}
	for domain := range e.until {
		if !slices.Contains(domains, domain) && !e.awaitsRewrite(domain, now) {
			delete(e.until, domain)
			e.returned[domain] = now
			change.ended = append(change.ended, domain)
		}
	}
	return change
}

// recordEra notes that a set is of a later era than the last one: the store came back from a copy, and the operator
// writes again what that lacks. It must be called with the lock held.
func (e *evacuations) recordEra(revision store.Revision, now time.Time) {
	if e.revision != 0 && revision.Era() > e.revision.Era() {
		e.restoredUntil, e.named = now.Add(lapsedGrace), make(map[string]bool)
	}
	if now.After(e.restoredUntil) {
		e.restoredUntil = time.Time{}
	}
}

// awaitsRewrite reports whether the operator may still have to write again that a domain is to be evacuated. It must be
// called with the lock held.
func (e *evacuations) awaitsRewrite(domain string, now time.Time) bool {
	return now.Before(e.restoredUntil) && !e.named[domain]
}

// current returns the set and its revision.
func (e *evacuations) current() (domains []string, revision store.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Sorted(maps.Keys(e.until)), e.revision
}

// apply returns an instance with the state of its failure domain's evacuation. Instances of other
// domains are returned unchanged.
func (e *evacuations) apply(i *upstream.Instance) *upstream.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, returned := e.until[i.FailureDomain], e.returned[i.FailureDomain]
	if i.EvacuateBy.Equal(until) && i.ReturnedAt.Equal(returned) {
		return i
	}
	copied := *i
	copied.EvacuateBy, copied.ReturnedAt = until, returned
	return &copied
}

// updateEvacuations takes the evacuations from a view of the store. They apply to the instances with
// the next call of setInstances.
func (p *Process) updateEvacuations(v view, d viewDelta) evacuationChange {
	if d.touches(platform.EvacuationPrefix) {
		p.evacuatedDomains = p.readEvacuations(v.items)
	}
	return p.evacuations.update(v.revision, p.evacuatedDomains, time.Now())
}

// readEvacuations returns the failure domains whose evacuation the items request.
func (p *Process) readEvacuations(items map[string]store.Item) []string {
	var domains []string
	for key, item := range items {
		domain, ok, err := platform.EvacuatedDomain(key)
		if err != nil {
			p.log.Warn().Str("event", "evacuation_unreadable").Stringer("revision", item.Revision).AnErr("cause", err).Send()
		}
		if ok {
			domains = append(domains, domain)
		}
	}
	return domains
}

// applyPeerEvacuations applies the evacuations that another VM reports, if its set is newer.
func (p *Process) applyPeerEvacuations(r *peerpb.VMReport) {
	if r.EvacuatedRevision == 0 {
		return
	}
	change := p.evacuations.updateFromPeer(store.Revision(r.EvacuatedRevision), r.Evacuated, time.Now())
	if change.isEmpty() {
		return
	}
	defer p.logEvacuations(change, r.Vm)
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	changes := make(map[string]*upstream.Instance)
	for id, i := range *p.instances.Load() {
		if next := p.evacuations.apply(i); next != i {
			changes[id] = next
		}
	}
	p.applyInstances(changes)
}

// logEvacuations logs a change of the evacuations. peer names the VM that reported it, empty if it
// comes from the view of the store.
func (p *Process) logEvacuations(change evacuationChange, peer string) {
	for _, domain := range change.begun {
		p.logEvacuation(p.log.Info().Str("event", "evacuation_in_force"), domain, peer)
	}
	for _, domain := range change.ended {
		p.logEvacuation(p.log.Info().Str("event", "evacuation_ended"), domain, peer)
	}
}

// logEvacuation completes a log line about a domain.
func (p *Process) logEvacuation(line *zerolog.Event, domain, peer string) {
	_, revision := p.evacuations.current()
	line.Str("domain", domain).Bool("known", p.settings.Regions[domain] != "").Int("instances", p.instancesIn(domain)).
		Stringer("revision", revision).Str("peer", peer).Send()
}

// instancesIn returns the number of known upstreams in a failure domain.
func (p *Process) instancesIn(domain string) int {
	n := 0
	for _, i := range *p.instances.Load() {
		if i.FailureDomain == domain {
			n++
		}
	}
	return n
}
