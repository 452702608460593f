package vm

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/platform"
)

// setInstances translates the entries of instances.
func (p *Process) setInstances(v view) {
	now := time.Now()
	away := p.tracker.awayWithin(now, revivalTime)
	next := make(map[string]*upstream.Instance)
	for key, item := range v.items {
		if _, ok := platform.InstanceID(key); !ok {
			continue
		}
		i, err := platform.Instance(item)
		if err != nil {
			p.log.Debug().Str("event", "instance_unreadable").AnErr("cause", err).Send()
			continue
		}
		name := incarnationOf(i)
		if i.Draining {
			p.gone.left(name, true, now)
		} else if p.gone.barred(name, item.Revision, away) {
			i.Draining = true
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

// putInForce makes a table of instances the one that requests are routed by.
func (p *Process) putInForce(next map[string]*upstream.Instance) {
	previous := *p.instances.Load()
	list := make([]upstream.Instance, 0, len(next))
	for id, i := range next {
		if old := previous[id]; old == nil || !old.Same(i) || old.Draining != i.Draining {
			p.log.Info().Str("event", "instance").Str("instance", id).Str("service", i.Service).
				Str("address", i.Address).Bool("draining", i.Draining).Int64("born", i.Born).Send()
		}
		list = append(list, *i)
	}
	p.instances.Store(&next)
	p.assigner.SetInstances(list)
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
		copied := *i
		if !i.Draining && left[incarnationOf(i)] {
			p.gone.left(incarnationOf(i), false, time.Now())
			copied.Draining, changed = true, true
		}
		next[id] = &copied
	}
	if changed {
		p.putInForce(next)
	}
}
