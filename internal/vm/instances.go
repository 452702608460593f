package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// instanceEntries caches the parsed instance entries of the store, by key. The view of a large
// fleet has hundreds of entries and changes several times a second, mostly in one of them. Parsed
// instances are not modified.
type instanceEntries struct {
	parse func(store.Item) (*upstream.Instance, error)
	byKey map[string]instanceEntry
}

// instanceEntry is one revision of an entry; instance is nil if the entry cannot be parsed.
type instanceEntry struct {
	revision    int64
	instance    *upstream.Instance
	incarnation string
}

func newInstanceEntries(parse func(store.Item) (*upstream.Instance, error)) *instanceEntries {
	return &instanceEntries{parse: parse, byKey: make(map[string]instanceEntry)}
}

// update parses the entries that have changed and drops those that are gone. It returns an error
// for each changed entry that cannot be parsed.
func (e *instanceEntries) update(items map[string]store.Item, now time.Time) (unreadable []error) {
	next := make(map[string]instanceEntry, len(e.byKey))
	for key, item := range items {
		if _, ok := platform.InstanceID(key); !ok {
			continue
		}
		if known, ok := e.byKey[key]; ok && known.revision == item.Revision {
			next[key] = known
			continue
		}
		entry := instanceEntry{revision: item.Revision}
		i, err := e.parse(item)
		if err == nil {
			if i.ColdFor > 0 {
				i.ColdUntil = now.Add(i.ColdFor)
			}
			entry.instance, entry.incarnation = i, incarnationOf(i)
		} else {
			unreadable = append(unreadable, err)
		}
		next[key] = entry
	}
	e.byKey = next
	return unreadable
}

// setInstances updates the instances from a view of the store.
func (p *Process) setInstances(v view) {
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	now := time.Now()
	storeFailed := p.tracker.failedWithin(now, immediateReturnTime)
	for _, err := range p.entries.update(v.items, now) {
		p.log.Debug().Str("event", "instance_unreadable").AnErr("cause", err).Send()
	}
	next := make(map[string]*upstream.Instance, len(p.entries.byKey))
	for _, entry := range p.entries.byKey {
		i := entry.instance
		if i == nil {
			continue
		}
		if i.Draining {
			p.departures.record(entry.incarnation, true, now)
		} else if p.departures.excluded(entry.incarnation, entry.revision, storeFailed) {
			i = asDraining(i)
		}
		next[i.ID] = p.evacuations.apply(i)
	}
	for id, old := range *p.instances.Load() {
		if i, ok := next[id]; !ok || !i.SameIncarnation(old) {
			p.departures.record(incarnationOf(old), false, now)
			p.replicas.Pool.CloseIdle(old.Address)
			p.log.Info().Str("event", "instance_gone").Str("instance", id).Str("address", old.Address).Send()
		}
	}
	p.applyInstances(next)
}

// immediateReturnTime is how long after a failed call of the store an entry that reappears counts
// as available at once.
const immediateReturnTime = 5 * time.Second

// applyInstances makes a table of instances the one that requests are routed by. It must be called
// with instancesMu held. Of a VM's first
// table it logs only the size and the draining instances: hundreds of VMs that start together
// would otherwise log a line for each upstream before they serve a request.
func (p *Process) applyInstances(next map[string]*upstream.Instance) {
	previous := *p.instances.Load()
	list := make([]upstream.Instance, 0, len(next))
	if len(previous) == 0 && len(next) > 0 {
		p.log.Info().Str("event", "instances_known").Int("count", len(next)).Send()
	}
	for id, i := range next {
		old := previous[id]
		first := len(previous) == 0 && !i.Draining
		if !first && (old == nil || !old.SameIncarnation(i) || old.Draining != i.Draining) {
			p.log.Info().Str("event", "instance").Str("instance", id).Str("service", i.Service).
				Str("address", i.Address).Bool("draining", i.Draining).Int64("born", i.Incarnation).Send()
		}
		list = append(list, *i)
	}
	p.instances.Store(&next)
	p.assigner.SetInstances(list)
	p.assigner.RetainRateLimits(time.Now())
}

// asDraining returns a copy of an instance that is marked as draining.
func asDraining(i *upstream.Instance) *upstream.Instance {
	copied := *i
	copied.Draining = true
	return &copied
}

// applyPeerDepartures marks the instances as draining whose incarnations a VM with a newer view of the
// store has seen draining or gone.
func (p *Process) applyPeerDepartures(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	p.instancesMu.Lock()
	defer p.instancesMu.Unlock()
	left := make(map[string]bool, len(incarnations))
	for _, n := range incarnations {
		left[n] = true
	}
	next := make(map[string]*upstream.Instance)
	changed := false
	for id, i := range *p.instances.Load() {
		if !i.Draining && left[incarnationOf(i)] {
			p.departures.record(incarnationOf(i), false, time.Now())
			i, changed = asDraining(i), true
		}
		next[id] = i
	}
	if changed {
		p.applyInstances(next)
	}
}
