package vm

import (
	"maps"
	"slices"
	"sync"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// contentsTable holds the leader's record of the engines' contents, which VMs relay in reports:
// the leader reports to only a few VMs, and the others need to learn as quickly where a model
// or an adapter can be used.
type contentsTable struct {
	mu sync.Mutex
	// token is the fencing token of the leader whose table this is.
	token   int64
	engines map[string]*peerpb.EngineContents
	// version counts the changes of engines.
	version uint64
	sent    map[string]sentContents
}

// sentContents is what was last sent to a VM, by instance, and the table's version if that was
// the whole table.
type sentContents struct {
	engines map[string]*peerpb.EngineContents
	version uint64
}

func newContentsTable() contentsTable {
	return contentsTable{engines: make(map[string]*peerpb.EngineContents), sent: make(map[string]sentContents)}
}

// set replaces the table, on the leader. Unchanged engines keep their value.
func (c *contentsTable) set(token int64, engines []*peerpb.EngineContents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]*peerpb.EngineContents, len(engines))
	for _, e := range engines {
		slices.Sort(e.Models)
		slices.Sort(e.Adapters)
		next[e.Instance] = e
		if old := c.engines[e.Instance]; old != nil && token == c.token && sameContents(old, e) {
			next[e.Instance] = old
		}
	}
	if token != c.token || !maps.Equal(next, c.engines) {
		c.version++
	}
	c.token, c.engines = token, next
}

func sameContents(a, b *peerpb.EngineContents) bool {
	return a.OrdersAccepted == b.OrdersAccepted && slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters) &&
		slices.Equal(a.Leaving, b.Leaving)
}

// merge merges the contents that another VM relays, and returns those that have changed. Contents
// from an earlier leader are ignored.
func (c *contentsTable) merge(token int64, engines []*peerpb.EngineContents) []*peerpb.EngineContents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token == 0 || token < c.token {
		return nil
	}
	if token > c.token {
		c.token, c.engines = token, make(map[string]*peerpb.EngineContents)
		c.version++
	}
	var changed []*peerpb.EngineContents
	for _, e := range engines {
		old := c.engines[e.Instance]
		if old != nil && (old.OrdersAccepted > e.OrdersAccepted || sameContents(old, e)) {
			continue
		}
		c.engines[e.Instance] = e
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		c.version++
	}
	return changed
}

// maxReportedEngines is the largest number of engines whose contents one report holds. After a
// change of leader all contents are new to every VM. A report of twelve thousand engines would
// exceed the time of an exchange over a narrow link, and the next one would be as large.
const maxReportedEngines = 1000

// addUnsent adds the contents that the receiver was not sent yet to a report, up to
// maxReportedEngines.
func (c *contentsTable) addUnsent(out *peerpb.VMReport, receiver string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 {
		return
	}
	out.LeaderToken = c.token
	sent := c.sent[receiver]
	if sent.version == c.version {
		return
	}
	next := sentContents{engines: make(map[string]*peerpb.EngineContents, len(c.engines))}
	for id, e := range c.engines {
		if sent.engines[id] != e {
			if len(out.Contents) == maxReportedEngines {
				continue
			}
			out.Contents = append(out.Contents, e)
		}
		next.engines[id] = e
	}
	if len(next.engines) == len(c.engines) {
		next.version = c.version
	}
	c.sent[receiver] = next
}

// forgetSent makes the next reports to a VM start from the whole table: the VM may not have received
// the last one.
func (c *contentsTable) forgetSent(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sent, vm)
}

// publishContents makes the engine states available to this VM's own assigner and to other VMs.
func (l *planner) publishContents() {
	l.mu.Lock()
	token := l.token
	engines := make([]*peerpb.EngineContents, 0, len(l.states))
	for id, state := range l.states {
		e := &peerpb.EngineContents{
			Instance: id, OrdersAccepted: state.ordersAccepted,
			Adapters: slices.Collect(maps.Keys(state.adapters)), Models: slices.Collect(maps.Keys(state.models)),
		}
		if state.unloading != "" {
			e.Leaving = []string{state.unloading}
		}
		engines = append(engines, e)
	}
	l.mu.Unlock()
	if token == 0 {
		return
	}
	l.contents.set(token, engines)
	l.updateAssigner(engines)
}

// applyContents applies the engine contents of another VM's report, unless this VM leads.
func (l *planner) applyContents(r *peerpb.VMReport) {
	l.mu.Lock()
	leading := l.token != 0
	l.mu.Unlock()
	if !leading {
		l.updateAssigner(l.contents.merge(r.LeaderToken, r.Contents))
	}
}

// updateAssigner passes the contents of engines to this VM's assigner.
func (l *planner) updateAssigner(engines []*peerpb.EngineContents) {
	for _, e := range engines {
		l.p.assigner.SetContents(e.Instance, assign.Contents{
			Orders: e.OrdersAccepted, Items: slices.Concat(e.Models, e.Adapters), Leaving: e.Leaving,
		})
	}
}
