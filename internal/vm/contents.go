package vm

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// contentsTable holds the leader's record of the engines' contents, which VMs relay in reports:
// the leader reports to only a few VMs, and the others need to learn as quickly where a model
// or an adapter can be used.
type contentsTable struct {
	mu sync.Mutex
	// token is the fencing token of the leader whose table this is.
	token   int64
	engines map[string]contentsEntry
	// version numbers the changes of engines, log holds them in this order. A change of the log
	// that is not the last one of its engine is outdated.
	version uint64
	log     []contentsChange
	// sent is the number of the last change that was sent to a VM.
	sent map[string]uint64
}

// contentsEntry is what an engine holds, and the number of its last change.
type contentsEntry struct {
	contents  *peerpb.EngineContents
	changedAt uint64
}

type contentsChange struct {
	number uint64
	engine string
}

func newContentsTable() contentsTable {
	return contentsTable{engines: make(map[string]contentsEntry), sent: make(map[string]uint64)}
}

// set replaces the table, on the leader, and returns the engines whose contents have changed.
func (c *contentsTable) set(token int64, engines []*peerpb.EngineContents) (changed []*peerpb.EngineContents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		c.reset(token)
	}
	named := make(map[string]bool, len(engines))
	for _, e := range engines {
		slices.Sort(e.Models)
		slices.Sort(e.Adapters)
		named[e.Instance] = true
		if old := c.engines[e.Instance].contents; old == nil || !sameContents(old, e) {
			c.record(e)
			changed = append(changed, e)
		}
	}
	for id := range c.engines {
		if !named[id] {
			delete(c.engines, id)
		}
	}
	return changed
}

// reset empties the table for another leader. It must be called with the lock held.
func (c *contentsTable) reset(token int64) {
	c.token, c.engines, c.log = token, make(map[string]contentsEntry), nil
}

// record replaces what an engine holds. It must be called with the lock held.
func (c *contentsTable) record(e *peerpb.EngineContents) {
	c.version++
	c.engines[e.Instance] = contentsEntry{contents: e, changedAt: c.version}
	c.log = append(c.log, contentsChange{number: c.version, engine: e.Instance})
	if len(c.log) > 2*len(c.engines)+minContentsLog {
		c.log = slices.DeleteFunc(c.log, c.outdated)
	}
}

// minContentsLog is the length of the log of changes that is kept in any case.
const minContentsLog = 64

func (c *contentsTable) outdated(change contentsChange) bool {
	return c.engines[change.engine].changedAt != change.number
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
		c.reset(token)
	}
	var changed []*peerpb.EngineContents
	for _, e := range engines {
		old := c.engines[e.Instance].contents
		if old != nil && (old.OrdersAccepted > e.OrdersAccepted || sameContents(old, e)) {
			continue
		}
		c.record(e)
		changed = append(changed, e)
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
	if sent == c.version {
		return
	}
	first, _ := slices.BinarySearchFunc(c.log, sent+1, func(change contentsChange, number uint64) int { return cmp.Compare(change.number, number) })
	for _, change := range c.log[first:] {
		if c.outdated(change) {
			continue
		}
		if len(out.Contents) == maxReportedEngines {
			return
		}
		out.Contents = append(out.Contents, c.engines[change.engine].contents)
		c.sent[receiver] = change.number
	}
	c.sent[receiver] = c.version
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
		if state.published = state.published || !state.matchesEntry(l.p.instance(id)); !state.published {
			continue
		}
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
	l.updateAssigner(l.contents.set(token, engines))
}

// matchesEntry reports whether the engine's entry in the store tells the same as the state, so that
// other VMs need not be told.
func (s *engineState) matchesEntry(entry *upstream.Instance) bool {
	if entry == nil || entry.OrdersAccepted != s.ordersAccepted || len(entry.Models) != len(s.models) || s.unloading != "" {
		return false
	}
	adapters := 0
	for _, m := range entry.Models {
		adapters += len(m.Adapters)
	}
	return adapters == len(s.adapters)
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
