package vm

import (
	"maps"
	"slices"
	"sync"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
)

// contentsTable holds what the leader knows of the engines, and passes it on: the leader
// reports to a few VMs only, and the others have to know as soon where a model or an
// adapter can be used.
type contentsTable struct {
	mu sync.Mutex
	// token is of the leader that it stems from.
	token   int64
	engines map[string]*peerpb.EngineContents
	// changes counts the changes of engines.
	changes uint64
	told    map[string]toldContents
}

// toldContents is what a VM was told last, by instance, and the number of the last change if
// that was everything.
type toldContents struct {
	engines map[string]*peerpb.EngineContents
	changes uint64
}

func newContentsTable() contentsTable {
	return contentsTable{engines: make(map[string]*peerpb.EngineContents), told: make(map[string]toldContents)}
}

// set replaces the table, on the leader. Engines that have not changed keep their value.
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
		c.changes++
	}
	c.token, c.engines = token, next
}

func sameContents(a, b *peerpb.EngineContents) bool {
	return a.OrdersAccepted == b.OrdersAccepted && slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters) &&
		slices.Equal(a.Leaving, b.Leaving)
}

// hear takes what another VM passes on, and returns what is new. What stems from an
// earlier leader is not believed.
func (c *contentsTable) hear(token int64, engines []*peerpb.EngineContents) []*peerpb.EngineContents {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token == 0 || token < c.token {
		return nil
	}
	if token > c.token {
		c.token, c.engines = token, make(map[string]*peerpb.EngineContents)
		c.changes++
	}
	var fresh []*peerpb.EngineContents
	for _, e := range engines {
		old := c.engines[e.Instance]
		if old != nil && (old.OrdersAccepted > e.OrdersAccepted || sameContents(old, e)) {
			continue
		}
		c.engines[e.Instance] = e
		fresh = append(fresh, e)
	}
	if len(fresh) > 0 {
		c.changes++
	}
	return fresh
}

// maxContents bounds the engines that one report tells the contents of. After a change of
// leaders all of them are new to everybody; a report with twelve thousand would take longer
// over a narrow link than an exchange may, and the next one would be as large.
const maxContents = 1000

// describe adds what the receiver was not told yet to a report, up to maxContents.
func (c *contentsTable) describe(out *peerpb.VMReport, receiver string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.token == 0 {
		return
	}
	out.LeaderToken = c.token
	told := c.told[receiver]
	if told.changes == c.changes {
		return
	}
	now := toldContents{engines: make(map[string]*peerpb.EngineContents, len(c.engines))}
	for id, e := range c.engines {
		if told.engines[id] != e {
			if len(out.Contents) == maxContents {
				continue
			}
			out.Contents = append(out.Contents, e)
		}
		now.engines[id] = e
	}
	if len(now.engines) == len(c.engines) {
		now.changes = c.changes
	}
	c.told[receiver] = now
}

// forget makes the next report to a VM whole: it may not have got the last one.
func (c *contentsTable) forget(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.told, vm)
}

// publish gives what the books say to this VM's own choice of engines and to the others.
func (l *planner) publish() {
	l.mu.Lock()
	token := l.token
	engines := make([]*peerpb.EngineContents, 0, len(l.books))
	for id, b := range l.books {
		e := &peerpb.EngineContents{
			Instance: id, OrdersAccepted: b.accepted,
			Adapters: slices.Collect(maps.Keys(b.adapters)), Models: slices.Collect(maps.Keys(b.models)),
		}
		if b.leaving != "" {
			e.Leaving = []string{b.leaving}
		}
		engines = append(engines, e)
	}
	l.mu.Unlock()
	if token == 0 {
		return
	}
	l.contents.set(token, engines)
	l.believe(engines)
}

// hearContents takes what another VM passes on of the engines.
func (l *planner) hearContents(r *peerpb.VMReport) {
	l.mu.Lock()
	leading := l.token != 0
	l.mu.Unlock()
	if !leading {
		l.believe(l.contents.hear(r.LeaderToken, r.Contents))
	}
}

func (l *planner) believe(engines []*peerpb.EngineContents) {
	for _, e := range engines {
		l.p.assigner.SetContents(e.Instance, assign.Contents{
			Orders: e.OrdersAccepted, Items: slices.Concat(e.Models, e.Adapters), Leaving: e.Leaving,
		})
	}
}
