package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// instanceEntries keeps what the entries of instances say, by key. A large fleet's view has
// hundreds of entries and changes several times a second, mostly in one of them. Its values
// are not changed once they are read.
type instanceEntries struct {
	read  func(store.Item) (*upstream.Instance, error)
	known map[string]instanceEntry
}

// instanceEntry is one revision of an entry; instance is nil if it cannot be read.
type instanceEntry struct {
	revision    int64
	instance    *upstream.Instance
	incarnation string
}

func newInstanceEntries(read func(store.Item) (*upstream.Instance, error)) *instanceEntries {
	return &instanceEntries{read: read, known: make(map[string]instanceEntry)}
}

// take reads the entries that have changed and forgets those that are gone. The errors are of
// entries that cannot be read.
func (e *instanceEntries) take(items map[string]store.Item) (unreadable []error) {
	next := make(map[string]instanceEntry, len(e.known))
	for key, item := range items {
		if _, ok := platform.InstanceID(key); !ok {
			continue
		}
		if known, ok := e.known[key]; ok && known.revision == item.Revision {
			next[key] = known
			continue
		}
		entry := instanceEntry{revision: item.Revision}
		i, err := e.read(item)
		if err == nil {
			entry.instance, entry.incarnation = i, incarnationOf(i)
		} else {
			unreadable = append(unreadable, err)
		}
		next[key] = entry
	}
	e.known = next
	return unreadable
}

// setInstances translates the entries of instances. It is called by one view after the other.
func (p *Process) setInstances(v view) {
	now := time.Now()
	away := p.tracker.awayWithin(now, revivalTime)
	for _, err := range p.entries.take(v.items) {
		p.log.Debug().Str("event", "instance_unreadable").AnErr("cause", err).Send()
	}
	next := make(map[string]*upstream.Instance, len(p.entries.known))
	for _, entry := range p.entries.known {
		i := entry.instance
		if i == nil {
			continue
		}
		if i.Draining {
			p.gone.left(entry.incarnation, true, now)
		} else if p.gone.barred(entry.incarnation, entry.revision, away) {
			i = draining(i)
		}
		next[i.ID] = i
	}
	for id, old := range *p.instances.Load() {
		if i, ok := next[id]; !ok || !i.Same(old) {
			p.gone.left(incarnationOf(old), false, now)
			p.replicas.Pool.Forget(old.Address)
			p.log.Info().Str("event", "instance_gone").Str("instance", id).Str("address", old.Address).Send()
		}
	}
	p.putInForce(next)
}

// revivalTime is how long after the store was away an entry that comes back is
// believed at once.
const revivalTime = 5 * time.Second

// putInForce makes a table of instances the one that requests are routed by. Of a VM's first
// table the log tells the size and who is leaving: hundreds of VMs that start together would
// write a line for each upstream before they serve anybody.
func (p *Process) putInForce(next map[string]*upstream.Instance) {
	previous := *p.instances.Load()
	list := make([]upstream.Instance, 0, len(next))
	if len(previous) == 0 && len(next) > 0 {
		p.log.Info().Str("event", "instances_known").Int("count", len(next)).Send()
	}
	for id, i := range next {
		old := previous[id]
		first := len(previous) == 0 && !i.Draining
		if !first && (old == nil || !old.Same(i) || old.Draining != i.Draining) {
			p.log.Info().Str("event", "instance").Str("instance", id).Str("service", i.Service).
				Str("address", i.Address).Bool("draining", i.Draining).Int64("born", i.Born).Send()
		}
		list = append(list, *i)
	}
	p.instances.Store(&next)
	p.assigner.SetInstances(list)
}

// draining returns an instance that takes no new work.
func draining(i *upstream.Instance) *upstream.Instance {
	copied := *i
	copied.Draining = true
	return &copied
}

// peerDepartures takes what a VM with a newer view of the store has seen leaving.
func (p *Process) peerDepartures(names []string) {
	if len(names) == 0 {
		return
	}
	left := make(map[string]bool, len(names))
	for _, n := range names {
		left[n] = true
	}
	next := make(map[string]*upstream.Instance)
	changed := false
	for id, i := range *p.instances.Load() {
		if !i.Draining && left[incarnationOf(i)] {
			p.gone.left(incarnationOf(i), false, time.Now())
			i, changed = draining(i), true
		}
		next[id] = i
	}
	if changed {
		p.putInForce(next)
	}
}
