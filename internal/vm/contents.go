package vm

import (
	"maps"
	"slices"
	"sync"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/changelog"
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
	engines map[string]*peerpb.EngineContents
	// version numbers the changes of engines, which log holds.
	version uint64
	log     *changelog.Log[string]
	// sent is the number of the last change that was sent to a VM.
	sent map[string]uint64
}

func newContentsTable() contentsTable {
	return contentsTable{engines: make(map[string]*peerpb.EngineContents), log: changelog.New[string](), sent: make(map[string]uint64)}
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
		named[e.Instance] = true
		if c.replace(e) {
			changed = append(changed, e)
		}
	}
	for id := range c.engines {
		if !named[id] {
			delete(c.engines, id)
			c.log.Remove(id)
		}
	}
	return changed
}

// setOne replaces the contents of one engine in the leader's table, unless they are older, and returns them if they have
// changed.
func (c *contentsTable) setOne(token int64, e *peerpb.EngineContents) (changed []*peerpb.EngineContents) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		// The next plan fills the table of this term.
		return nil
	}
	if old := c.engines[e.Instance]; old != nil && old.OrdersAccepted > e.OrdersAccepted {
		return nil
	}
	if !c.replace(e) {
		return nil
	}
	return []*peerpb.EngineContents{e}
}

// replace replaces the contents of one engine and reports whether they differ. It must be called with the lock held.
func (c *contentsTable) replace(e *peerpb.EngineContents) (changed bool) {
	slices.Sort(e.Models)
	slices.Sort(e.Adapters)
	if old := c.engines[e.Instance]; old != nil && sameContents(old, e) {
		return false
	}
	c.record(e)
	return true
}

// reset empties the table for another leader. It must be called with the lock held.
func (c *contentsTable) reset(token int64) {
	c.token, c.engines, c.log = token, make(map[string]*peerpb.EngineContents), changelog.New[string]()
}

// record replaces what an engine holds. It must be called with the lock held.
func (c *contentsTable) record(e *peerpb.EngineContents) {
	c.version++
	c.engines[e.Instance] = e
	c.log.Record(e.Instance, c.version)
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
		old := c.engines[e.Instance]
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
	if c.sent[receiver] == c.version {
		return
	}
	complete := true
	c.log.Since(c.sent[receiver], func(engine string, number uint64) bool {
		if len(out.Contents) == maxReportedEngines {
			complete = false
			return false
		}
		out.Contents = append(out.Contents, c.engines[engine])
		c.sent[receiver] = number
		return true
	})
	if complete {
		c.sent[receiver] = c.version
	}
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
	for _, state := range l.states {
		if e := l.contentsToPublish(state); e != nil {
			engines = append(engines, e)
		}
	}
	l.mu.Unlock()
	if token == 0 {
		return
	}
	l.updateAssigner(l.contents.set(token, engines))
}

// publishEngine makes the state of one engine available as publishContents does. A state that is not valid any more is
// left to the next plan.
func (l *planner) publishEngine(state *engineState) {
	l.mu.Lock()
	token := l.token
	if token == 0 || l.states[state.instance.ID] != state {
		l.mu.Unlock()
		return
	}
	e := l.contentsToPublish(state)
	l.mu.Unlock()
	if e != nil {
		l.updateAssigner(l.contents.setOne(token, e))
	}
}

// contentsToPublish returns what other VMs are told of an engine, nil if its entry in the store tells them. It must be
// called with the lock held.
func (l *planner) contentsToPublish(s *engineState) *peerpb.EngineContents {
	if s.published = s.published || !s.matchesEntry(l.p.instance(s.instance.ID)); !s.published {
		return nil
	}
	e := &peerpb.EngineContents{
		Instance: s.instance.ID, OrdersAccepted: s.ordersAccepted,
		Adapters: slices.Collect(maps.Keys(s.adapters)), Models: slices.Collect(maps.Keys(s.models)),
	}
	if s.unloading != "" {
		e.Leaving = []string{s.unloading}
	}
	return e
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
