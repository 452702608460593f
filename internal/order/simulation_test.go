package order

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// simulation simulates the environment of several leaders: a key-value service, engines,
// and a network that loses, delays, duplicates and reorders messages. A test steps it.
type simulation struct {
	t        *rapid.T
	now      time.Time
	doc      *document.Document
	faults   faults
	kv       map[string]Stored
	revision int64
	outage   bool
	engines  []*fakeEngine
	leaders  []*leader
	inFlight []*message
	// starts holds the start time of each load, to check the weight store's rate limit.
	starts []time.Time
	// wasRedundant means that every name has been ready in two failure domains at least
	// once.
	wasRedundant                          bool
	domainsLost, restarts, versionChanges int
	// log holds the events so far, for failure messages.
	log     []string
	loads   int
	unloads int
}

// leader is a planner that acts as leader, possibly after it was deposed.
type leader struct {
	reconciler *Reconciler
	plannedAt  time.Time
	paused     bool
	deposed    bool
}

// message is a request or an answer in flight. A request stays in flight after its sender
// has timed out.
type message struct {
	sender *leader
	action Action
	// answer passes the result to the sender. It is set once the request has arrived.
	answer   func()
	arrived  bool
	timedOut bool
	sent     time.Time
}

type fakeEngine struct {
	name, domain      string
	capacity          int64
	enforceFence      bool
	down              bool
	incarnationNumber int
	fence             int64
	resident          map[placement.Item]*fakeResident
	answers           map[string]Answer
	// previousReport is the report as of the previous poll or restart. The next poll
	// returns it, because reports lag.
	previousReport Report
}

type fakeResident struct {
	memory      int64
	ready       bool
	readyAt     time.Time
	loadOrderID string
}

const (
	fuzzLoadTime    = 700 * time.Millisecond
	fuzzRate        = 3
	fuzzConcurrent  = 2
	maxRequestDelay = 20 * time.Second
)

func newSimulation(t *rapid.T, planted faults) *simulation {
	sim := &simulation{t: t, now: time.Unix(1_000_000, 0), faults: planted, kv: make(map[string]Stored)}
	sim.doc = &document.Document{FailureDomains: []string{"a", "b", "c"}}
	for i := range 6 {
		e := &fakeEngine{
			name:         fmt.Sprintf("e%d", i),
			domain:       sim.doc.FailureDomains[i%3],
			capacity:     30,
			enforceFence: i%2 == 0,
		}
		e.restart()
		sim.engines = append(sim.engines, e)
		sim.doc.Engines = append(sim.doc.Engines, document.Engine{
			Name: e.name, FailureDomain: e.domain, Memory: document.Bytes(e.capacity),
		})
	}
	for i := range 4 {
		m := document.Model{Name: fmt.Sprintf("m%d", i), Version: "v1", Memory: document.Bytes(8 + i)}
		for j := range 2 {
			m.Adapters = append(m.Adapters, document.Adapter{Name: fmt.Sprintf("a%d", j), Version: "v1", Memory: 1})
		}
		sim.doc.Models = append(sim.doc.Models, m)
	}
	return sim
}

func (e *fakeEngine) incarnation() string { return fmt.Sprintf("%s/%d", e.name, e.incarnationNumber) }

func (e *fakeEngine) restart() {
	e.incarnationNumber++
	e.fence = 0
	e.resident = make(map[placement.Item]*fakeResident)
	e.answers = make(map[string]Answer)
	e.previousReport = e.report()
}

func (e *fakeEngine) report() Report {
	r := Report{Incarnation: e.incarnation()}
	for item, held := range e.resident {
		r.Resident = append(r.Resident, ReportItem{Item: item, Ready: held.ready})
		r.MemoryUsed += held.memory
	}
	return r
}

// handleOrder executes an order, once for each ID and incarnation.
func (e *fakeEngine) handleOrder(sim *simulation, o Order) Answer {
	if known, ok := e.answers[o.ID]; ok {
		return known
	}
	if o.Fence < e.fence && e.enforceFence {
		e.answers[o.ID] = Refused
		return Refused
	}
	e.fence = max(e.fence, o.Fence)
	sim.logf("%s %s kind %d %v", e.name, o.ID, o.Kind, o.Item)
	e.answers[o.ID] = e.execute(sim, o)
	return e.answers[o.ID]
}

func (e *fakeEngine) execute(sim *simulation, o Order) Answer {
	held, holds := e.resident[o.Item]
	switch {
	case o.Kind == Unload && !holds:
		return Done
	case o.Kind == Unload && o.Item.IsBase() && !e.canUnloadBase(o.Item):
		return Failed
	case o.Kind == Unload:
		if held.loadOrderID != "" {
			e.answers[held.loadOrderID] = Failed
		}
		delete(e.resident, o.Item)
		sim.unloads++
		return Done
	case holds && held.ready:
		return Done
	case holds || (!o.Item.IsBase() && !e.hasBase(o.Item.Model)):
		return Failed
	}
	sim.starts = append(sim.starts, sim.now)
	sim.loads++
	e.resident[o.Item] = &fakeResident{memory: o.Memory, readyAt: sim.now.Add(fuzzLoadTime), loadOrderID: o.ID}
	return Running
}

func (e *fakeEngine) hasBase(model string) bool {
	for item, held := range e.resident {
		if item.Model == model && item.IsBase() && held.ready {
			return true
		}
	}
	return false
}

// canUnloadBase reports whether no adapter needs this version of its base model.
func (e *fakeEngine) canUnloadBase(base placement.Item) bool {
	for item, held := range e.resident {
		if item.Model == base.Model && item.IsBase() && item != base && held.ready {
			return true
		}
	}
	for item := range e.resident {
		if item.Model == base.Model && !item.IsBase() {
			return false
		}
	}
	return true
}

// advance advances the time: loads complete, and timed-out requests that are older than
// maxRequestDelay are dropped.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, e := range sim.engines {
		for _, held := range e.resident {
			if !held.ready && !sim.now.Before(held.readyAt) {
				held.ready = true
				e.answers[held.loadOrderID] = Done
				held.loadOrderID = ""
			}
		}
	}
	kept := sim.inFlight[:0]
	for _, m := range sim.inFlight {
		if !m.timedOut || sim.now.Sub(m.sent) < maxRequestDelay {
			kept = append(kept, m)
		}
	}
	sim.inFlight = kept
}

// elect starts a new leader without notifying the previous one.
func (sim *simulation) elect() {
	sim.revision++
	b := NewReconciler(Options{
		Prefix: "/p/", Fence: sim.revision, LoadsPerSecond: fuzzRate, ConcurrentLoads: fuzzConcurrent,
		LoadTimeout: time.Minute, MissingAfter: 8 * time.Second, RemovalGrace: time.Second,
	})
	b.faults = sim.faults
	sim.leaders = append(sim.leaders, &leader{reconciler: b})
}

// step makes a leader plan and puts its actions in flight.
func (sim *simulation) step(l *leader) {
	if l.paused || l.deposed {
		return
	}
	if l.reconciler.Deposed() {
		l.deposed = true
		return
	}
	sim.plan(l)
	for _, a := range l.reconciler.Next(sim.now) {
		sim.inFlight = append(sim.inFlight, &message{sender: l, action: a, sent: sim.now})
	}
}

// plan sets a leader's goal from the document, and makes a new plan if the last one is 500
// ms old.
func (sim *simulation) plan(l *leader) {
	goal := Goal{Versions: make(map[placement.Name]string), Memory: make(map[placement.Item]int64)}
	for _, m := range sim.doc.Models {
		base := placement.Item{Model: m.Name, Version: m.Version}
		goal.Versions[base.Name()] = m.Version
		goal.Memory[base] = int64(m.Memory)
		for _, a := range m.Adapters {
			item := placement.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}
			goal.Versions[item.Name()] = a.Version
			goal.Memory[item] = int64(a.Memory)
		}
	}
	for _, e := range sim.engines {
		goal.Engines = append(goal.Engines, EngineSpec{Name: e.name, FailureDomain: e.domain, Capacity: e.capacity})
	}
	if l.plannedAt.IsZero() {
		l.plannedAt = sim.now
		l.reconciler.SetGoal(goal)
		return
	}
	if sim.now.Sub(l.plannedAt) < 500*time.Millisecond || !l.reconciler.Surveyed(sim.now) {
		return
	}
	l.plannedAt = sim.now
	view := l.reconciler.View(sim.now)
	goal.SetPlan(placement.NewPlan(placement.Input{Models: sim.doc.Models, Engines: view, Stable: l.reconciler.Stable(sim.now)}), view)
	l.reconciler.SetGoal(goal)
}

// handleRequest executes a request at its destination.
func (sim *simulation) handleRequest(m *message) {
	m.arrived = true
	switch a := m.action.(type) {
	case Read:
		s, ok := sim.kv[a.Key], !sim.outage
		m.answer = func() { m.sender.reconciler.ReadDone(a.Key, s, ok) }
	case Write:
		m.answer = sim.handleWrite(m, a)
	case Poll:
		e := sim.engine(a.Engine)
		r, ok := e.previousReport, !e.down
		e.previousReport = e.report()
		m.answer = func() { m.sender.reconciler.Reported(a, r, ok, sim.now) }
	case Send:
		m.answer = sim.handleSend(m, a)
	}
}

func (sim *simulation) handleWrite(m *message, a Write) func() {
	if sim.outage {
		return func() { m.sender.reconciler.WriteDone(a.Key, OutcomeUnknown, 0, nil) }
	}
	current := sim.kv[a.Key]
	if current.Revision != a.Expected {
		return func() { m.sender.reconciler.WriteDone(a.Key, NoEffect, 0, &current) }
	}
	sim.revision++
	sim.kv[a.Key] = Stored{Revision: sim.revision, Value: a.Value}
	rev := sim.revision
	return func() { m.sender.reconciler.WriteDone(a.Key, TookEffect, rev, nil) }
}

func (sim *simulation) handleSend(m *message, a Send) func() {
	e := sim.engine(a.Engine)
	accepted := e.incarnation() == a.Incarnation || sim.faults.anyIncarnation
	if e.down || !accepted {
		return func() { m.sender.reconciler.Unanswered(a, sim.now) }
	}
	answer := e.handleOrder(sim, a.Order)
	return func() { m.sender.reconciler.Answered(a, answer, sim.now) }
}

// timeOut reports to the sender that no answer was received. The request may still arrive.
func (sim *simulation) timeOut(m *message) {
	if m.timedOut {
		return
	}
	m.timedOut = true
	switch a := m.action.(type) {
	case Read:
		m.sender.reconciler.ReadDone(a.Key, Stored{}, false)
	case Write:
		m.sender.reconciler.WriteDone(a.Key, OutcomeUnknown, 0, nil)
	case Poll:
		m.sender.reconciler.Reported(a, Report{}, false, sim.now)
	case Send:
		m.sender.reconciler.Unanswered(a, sim.now)
	}
}

// deliverAnswer removes a message, and passes its answer to the sender unless the sender
// has timed out.
func (sim *simulation) deliverAnswer(m *message) {
	sim.inFlight = slices.DeleteFunc(sim.inFlight, func(other *message) bool { return other == m })
	if !m.timedOut {
		m.answer()
	}
}

func (sim *simulation) engine(name string) *fakeEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *fakeEngine) bool { return e.name == name })]
}

func (sim *simulation) logf(f string, a ...any) {
	sim.log = append(sim.log, sim.now.Format("15:04:05.000 ")+fmt.Sprintf(f, a...))
}
