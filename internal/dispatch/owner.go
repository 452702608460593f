package dispatch

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/admit"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// handle takes one message in.
func (d *Dispatcher) handle(message any, now time.Time) {
	switch m := message.(type) {
	case acquire:
		d.offer(m, now)
	case withdraw:
		m.removed <- d.remove(m.id)
	case finish:
		d.finish(m, now)
	case lend:
		d.lendPart(m, now)
	case borrowed:
		d.parts.Took(m.item, m.n, m.asked)
	}
}

func (d *Dispatcher) offer(m acquire, now time.Time) {
	d.nextID++
	id := d.nextID
	m.id <- id
	class := m.request.class()
	w := &waiter{request: m.request, class: class, since: now, reply: m.reply}
	if len(m.request.Avoid) > 0 && errors.Is(d.router.Available(m.request.query(0), now), route.ErrNoReplica) {
		// Waiting would not help: the others have failed the request.
		d.refuse(w, errors.WithStack(ErrNoReplica))
		return
	}
	evicted, err := d.queue.Offer(admit.Request{
		ID: id, Team: m.request.Team, Class: class, Tokens: m.request.Tokens,
		Bytes: m.request.Bytes, Deadline: m.request.Deadline, Run: d.run(m.request),
	}, now)
	d.refuseAll(evicted)
	if err != nil {
		d.refuse(w, err)
		return
	}
	d.waiting[id] = w
	d.classes[class] = m.request
}

const (
	// paceKept is how much of what is known of an item's run time a new run leaves.
	paceKept = 0.9
	// paceTrust is the part of the usual run time that every run is taken to need.
	// Answers differ in length, and one that could still be given must not be
	// refused.
	paceTrust = 0.3
	// maxItems bounds the items whose run time is remembered.
	maxItems = 4096
)

// run returns how long a request takes at least.
func (d *Dispatcher) run(r *Request) time.Duration {
	if r.Run > 0 {
		return r.Run
	}
	return time.Duration(paceTrust * float64(d.pace[r.Item]))
}

// learn notes how long a run took.
func (d *Dispatcher) learn(i route.Item, took time.Duration) {
	usual, known := d.pace[i]
	if known {
		d.pace[i] = time.Duration(paceKept*float64(usual) + (1-paceKept)*float64(took))
		return
	}
	if len(d.pace) >= maxItems {
		clear(d.pace)
	}
	d.pace[i] = took
}

func (d *Dispatcher) remove(id uint64) bool {
	w := d.waiting[id]
	if w == nil {
		return false
	}
	delete(d.waiting, id)
	return d.queue.Remove(w.request.Team, id)
}

func (d *Dispatcher) finish(m finish, now time.Time) {
	r := m.grant.request
	d.router.Finished(m.grant.Upstream.Name, r.Item, m.healthy, now)
	d.queue.Served(r.Team, m.tokens-r.Tokens)
	if m.healthy && m.tokens > 0 {
		d.learn(r.Item, now.Sub(m.grant.since))
	}
	d.stats.Served[r.Team] += m.tokens
	d.stats.InFlight--
}

// refuseAll tells the callers of requests that were given up on.
func (d *Dispatcher) refuseAll(refusals []*admit.Refusal) {
	for _, r := range refusals {
		w := d.waiting[r.Request.ID]
		if w == nil {
			continue
		}
		delete(d.waiting, r.Request.ID)
		d.refuse(w, r)
	}
}

func (d *Dispatcher) refuse(w *waiter, err error) {
	d.stats.Refused[cause(err)]++
	w.reply <- result{err: err}
}

// cause names a refusal in the statistics.
func cause(err error) string {
	switch {
	case errors.Is(err, admit.ErrDeadline):
		return causeDeadline
	case errors.Is(err, admit.ErrFull):
		return causeFull
	case errors.Is(err, ErrNoReplica):
		return causeNoReplica
	}
	return causeCheck
}

// pump dispatches all that can be dispatched now.
func (d *Dispatcher) pump(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	d.refuseAll(d.queue.Expire(now))
	for {
		r, ok := d.queue.Next(now, func(class string) bool { return d.canRun(class, now) })
		if !ok {
			return
		}
		w := d.waiting[r.ID]
		delete(d.waiting, r.ID)
		d.dispatch(w, now)
	}
}

// canRun reports whether some upstream could take a request of a class.
func (d *Dispatcher) canRun(class string, now time.Time) bool {
	r := d.classes[class]
	err := d.router.Available(r.query(d.part(r, now)), now)
	if errors.Is(err, route.ErrPartUsed) {
		d.short[r.Item] = r.MaxInFlight
	}
	return err == nil
}

// part returns this VM's part of an item's limit.
func (d *Dispatcher) part(r *Request, now time.Time) int {
	if r.MaxInFlight <= 0 {
		return 0
	}
	return d.parts.Part(r.Item, r.MaxInFlight, now)
}

// dispatch gives a request to an upstream. Its key is checked now: one that was
// withdrawn while the request waited must not reach an upstream any more.
func (d *Dispatcher) dispatch(w *waiter, now time.Time) {
	r := w.request
	if r.Check != nil {
		if err := r.Check(); err != nil {
			d.queue.Served(r.Team, -r.Tokens)
			d.refuse(w, err)
			return
		}
	}
	upstream, err := d.router.Pick(r.query(d.part(r, now)), now, d.rng)
	if err != nil {
		d.queue.Served(r.Team, -r.Tokens)
		d.refuse(w, errors.Wrap(ErrNoReplica, err.Error()))
		return
	}
	d.router.Started(upstream.Name, r.Item, now)
	d.stats.InFlight++
	w.reply <- result{grant: &Grant{Upstream: upstream, dispatcher: d, request: r, since: now}}
}

// refresh takes in what other parts of the process have published, gives up on
// requests whose item no upstream has had for a while, and borrows what is short.
func (d *Dispatcher) refresh(ctx context.Context) {
	now := time.Now()
	if f := d.options.Fleet(); f != d.fleet {
		d.fleet = f
		d.router.SetFleet(f)
	}
	for _, t := range d.options.Teams() {
		d.queue.SetWeight(t.Name, t.Weight)
	}
	d.heartbeats()
	d.giveUpMissing(now)
	d.borrow(ctx, now)
	d.publish()
}

// heartbeats takes in what the other VMs have served since the last time. A
// count that went down is another set of VMs: it becomes the new base.
func (d *Dispatcher) heartbeats() {
	peers := d.options.Peers()
	served := make(map[string]int64, len(peers.Served))
	for team, n := range peers.Served {
		if before, known := d.peers.Served[team]; known && n > before {
			served[team] = n - before
		}
	}
	if len(served) > 0 {
		d.queue.ServedElsewhere(served)
	}
	d.peers = peers
	d.parts.SetFleet(peers.VMs, peers.Rank)
	own := max(1, d.stats.InFlight)
	d.router.SetSpread(min(float64(peers.VMs), float64(own+peers.InFlight)/float64(own)))
}

// giveUpMissing refuses the requests that have waited long enough for an item
// that no upstream has, and forgets the classes of which nothing waits.
func (d *Dispatcher) giveUpMissing(now time.Time) {
	used := make(map[string]*Request, len(d.classes))
	for id, w := range d.waiting {
		used[w.class] = w.request
		if now.Sub(w.since) < replicaWait {
			continue
		}
		err := d.router.Available(w.request.query(0), now)
		if !errors.Is(err, route.ErrNoReplica) {
			continue
		}
		d.remove(id)
		d.refuse(w, errors.WithStack(ErrNoReplica))
	}
	d.classes = used
}

// publish makes the state visible to other goroutines.
func (d *Dispatcher) publish() {
	s := d.stats
	s.Served = maps.Clone(s.Served)
	s.Refused = maps.Clone(s.Refused)
	s.Queued = make(map[string]int)
	for _, w := range d.waiting {
		s.Queued[w.request.Team]++
	}
	d.public.Store(&s)
}
