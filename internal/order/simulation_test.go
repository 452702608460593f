package order

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// world is the outside of some books: a key-value service, engines and a
// network that loses, delays, repeats and reorders. It is stepped by a loop.
type world struct {
	t       *rapid.T
	now     time.Time
	doc     *document.Document
	faults  faults
	kv      map[string]Stored
	rev     int64
	outage  bool
	engines []*fakeEngine
	leaders []*leader
	flying  []*flight
	// starts holds when each load started, for the weight store's rate.
	starts []time.Time
	// reached says that every name was ready in two failure domains once.
	reached                  bool
	lost, restarts, versions int
	// log is what happened, for the report of a failure.
	log     []string
	loads   int
	unloads int
}

// leader is one planner that believes to lead.
type leader struct {
	book    *Book
	planned time.Time
	paused  bool
	gone    bool
}

// flight is a request or an answer on its way. A request that was given up by
// its sender still flies.
type flight struct {
	from   *leader
	action Action
	// answer tells the sender the result, once the request has arrived.
	answer  func()
	arrived bool
	givenUp bool
	sent    time.Time
}

type fakeEngine struct {
	name, domain string
	capacity     int64
	enforce      bool
	down         bool
	life         int
	fence        int64
	resident     map[placement.Item]*fakeResident
	orders       map[string]Answer
	// shown is the report of some time ago: reports lag.
	shown Report
}

type fakeResident struct {
	memory int64
	ready  bool
	until  time.Time
	order  string
}

const (
	fuzzLoadTime   = 700 * time.Millisecond
	fuzzRate       = 3
	fuzzConcurrent = 2
	maxLateness    = 20 * time.Second
)

func newWorld(t *rapid.T, planted faults) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), faults: planted, kv: make(map[string]Stored)}
	w.doc = &document.Document{FailureDomains: []string{"a", "b", "c"}}
	for i := range 6 {
		e := &fakeEngine{
			name:     fmt.Sprintf("e%d", i),
			domain:   w.doc.FailureDomains[i%3],
			capacity: 30,
			enforce:  i%2 == 0,
		}
		e.restart()
		w.engines = append(w.engines, e)
		w.doc.Engines = append(w.doc.Engines, document.Engine{
			Name: e.name, FailureDomain: e.domain, Memory: document.Bytes(e.capacity),
		})
	}
	for i := range 4 {
		m := document.Model{Name: fmt.Sprintf("m%d", i), Version: "v1", Memory: document.Bytes(8 + i)}
		for j := range 2 {
			m.Adapters = append(m.Adapters, document.Adapter{Name: fmt.Sprintf("a%d", j), Version: "v1", Memory: 1})
		}
		w.doc.Models = append(w.doc.Models, m)
	}
	return w
}

func (e *fakeEngine) incarnation() string { return fmt.Sprintf("%s/%d", e.name, e.life) }

func (e *fakeEngine) restart() {
	e.life++
	e.fence = 0
	e.resident = make(map[placement.Item]*fakeResident)
	e.orders = make(map[string]Answer)
	e.shown = e.report()
}

func (e *fakeEngine) report() Report {
	r := Report{Incarnation: e.incarnation()}
	for item, held := range e.resident {
		r.Resident = append(r.Resident, ReportItem{Item: item, Ready: held.ready})
		r.MemoryUsed += held.memory
	}
	return r
}

// order carries an order out, once for each ID and incarnation.
func (e *fakeEngine) order(w *world, o Order) Answer {
	if known, ok := e.orders[o.ID]; ok {
		return known
	}
	if o.Fence < e.fence && e.enforce {
		e.orders[o.ID] = Refused
		return Refused
	}
	e.fence = max(e.fence, o.Fence)
	w.note("%s %s kind %d %v", e.name, o.ID, o.Kind, o.Item)
	e.orders[o.ID] = e.execute(w, o)
	return e.orders[o.ID]
}

func (e *fakeEngine) execute(w *world, o Order) Answer {
	held, holds := e.resident[o.Item]
	switch {
	case o.Kind == Unload && !holds:
		return Done
	case o.Kind == Unload && o.Item.IsBase() && !e.spareBase(o.Item):
		return Failed
	case o.Kind == Unload:
		if held.order != "" {
			e.orders[held.order] = Failed
		}
		delete(e.resident, o.Item)
		w.unloads++
		return Done
	case holds && held.ready:
		return Done
	case holds || (!o.Item.IsBase() && !e.hasBase(o.Item.Model)):
		return Failed
	}
	w.starts = append(w.starts, w.now)
	w.loads++
	e.resident[o.Item] = &fakeResident{memory: o.Memory, until: w.now.Add(fuzzLoadTime), order: o.ID}
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

// spareBase says whether no adapter needs this version of its base model.
func (e *fakeEngine) spareBase(base placement.Item) bool {
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

// advance lets time pass: loads end, leaders look up.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		for _, held := range e.resident {
			if !held.ready && !w.now.Before(held.until) {
				held.ready = true
				e.orders[held.order] = Done
				held.order = ""
			}
		}
	}
	kept := w.flying[:0]
	for _, f := range w.flying {
		if !f.givenUp || w.now.Sub(f.sent) < maxLateness {
			kept = append(kept, f)
		}
	}
	w.flying = kept
}

// elect starts a leader; the one before does not learn of it.
func (w *world) elect() {
	w.rev++
	b := NewBook(Options{
		Prefix: "/p/", Fence: w.rev, LoadsPerSecond: fuzzRate, ConcurrentLoads: fuzzConcurrent,
		LoadTimeout: time.Minute, MissingAfter: 8 * time.Second, RemovalGrace: time.Second,
	})
	b.faults = w.faults
	w.leaders = append(w.leaders, &leader{book: b})
}

// step lets a leader plan and act.
func (w *world) step(l *leader) {
	if l.paused || l.gone {
		return
	}
	if l.book.Deposed() {
		l.gone = true
		return
	}
	w.plan(l)
	for _, a := range l.book.Next(w.now) {
		w.flying = append(w.flying, &flight{from: l, action: a, sent: w.now})
	}
}

func (w *world) plan(l *leader) {
	goal := Goal{Versions: make(map[placement.Name]string), Memory: make(map[placement.Item]int64)}
	for _, m := range w.doc.Models {
		base := placement.Item{Model: m.Name, Version: m.Version}
		goal.Versions[base.Name()] = m.Version
		goal.Memory[base] = int64(m.Memory)
		for _, a := range m.Adapters {
			item := placement.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}
			goal.Versions[item.Name()] = a.Version
			goal.Memory[item] = int64(a.Memory)
		}
	}
	for _, e := range w.engines {
		goal.Engines = append(goal.Engines, EngineSpec{Name: e.name, FailureDomain: e.domain, Capacity: e.capacity})
	}
	if l.planned.IsZero() {
		l.planned = w.now
		l.book.SetGoal(goal)
		return
	}
	if w.now.Sub(l.planned) < 500*time.Millisecond || !l.book.Surveyed(w.now) {
		return
	}
	l.planned = w.now
	view := l.book.View(w.now)
	goal.SetPlan(placement.Make(placement.Input{Models: w.doc.Models, Engines: view, Quiet: l.book.Quiet(w.now)}), view)
	l.book.SetGoal(goal)
}

// arrive carries a request out at its destination.
func (w *world) arrive(f *flight) {
	f.arrived = true
	switch a := f.action.(type) {
	case Read:
		s, ok := w.kv[a.Key], !w.outage
		f.answer = func() { f.from.book.ReadDone(a.Key, s, ok) }
	case Write:
		f.answer = w.arriveWrite(f, a)
	case Poll:
		e := w.engine(a.Engine)
		r, ok := e.shown, !e.down
		e.shown = e.report()
		f.answer = func() { f.from.book.Reported(a, r, ok, w.now) }
	case Send:
		f.answer = w.arriveSend(f, a)
	}
}

func (w *world) arriveWrite(f *flight, a Write) func() {
	if w.outage {
		return func() { f.from.book.Written(a.Key, OutcomeUnknown, 0, nil) }
	}
	current := w.kv[a.Key]
	if current.Revision != a.Expected {
		return func() { f.from.book.Written(a.Key, DidNot, 0, &current) }
	}
	w.rev++
	w.kv[a.Key] = Stored{Revision: w.rev, Value: a.Value}
	rev := w.rev
	return func() { f.from.book.Written(a.Key, TookEffect, rev, nil) }
}

func (w *world) arriveSend(f *flight, a Send) func() {
	e := w.engine(a.Engine)
	bound := e.incarnation() == a.Incarnation || w.faults.anyIncarnation
	if e.down || !bound {
		return func() { f.from.book.Unanswered(a, w.now) }
	}
	answer := e.order(w, a.Order)
	return func() { f.from.book.Answered(a, answer, w.now) }
}

// giveUp tells the sender that no answer came. The request may still arrive.
func (w *world) giveUp(f *flight) {
	if f.givenUp {
		return
	}
	f.givenUp = true
	switch a := f.action.(type) {
	case Read:
		f.from.book.ReadDone(a.Key, Stored{}, false)
	case Write:
		f.from.book.Written(a.Key, OutcomeUnknown, 0, nil)
	case Poll:
		f.from.book.Reported(a, Report{}, false, w.now)
	case Send:
		f.from.book.Unanswered(a, w.now)
	}
}

// deliver hands an answer to a sender that still waits for it.
func (w *world) deliver(f *flight) {
	w.flying = slices.DeleteFunc(w.flying, func(g *flight) bool { return g == f })
	if !f.givenUp {
		f.answer()
	}
}

func (w *world) engine(name string) *fakeEngine {
	return w.engines[slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.name == name })]
}

func (w *world) note(f string, a ...any) {
	w.log = append(w.log, w.now.Format("15:04:05.000 ")+fmt.Sprintf(f, a...))
}
