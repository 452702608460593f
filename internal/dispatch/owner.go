package dispatch

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/admit"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

// handle processes one message in the owning goroutine.
func (d *Dispatcher) handle(message any, now time.Time) {
	switch m := message.(type) {
	case acquireMessage:
		d.enqueue(m, now)
	case cancelMessage:
		m.removed <- d.remove(m.id)
	case finishMessage:
		d.finish(m, now)
	case lendMessage:
		d.lend(m, now)
	case borrowedMessage:
		d.limitShares.RecordLoan(m.item, m.slots, m.requestedAt)
	}
}

func (d *Dispatcher) enqueue(m acquireMessage, now time.Time) {
	d.nextID++
	id := d.nextID
	m.id <- id
	class := m.request.class()
	w := &waiter{request: m.request, class: class, queuedAt: now, reply: m.reply}
	if len(m.request.Avoid) > 0 && errors.Is(d.router.Available(m.request.query(0), now), route.ErrNoReplica) {
		// Waiting would not help: every upstream that serves the item has already
		// failed the request.
		d.refuse(w, errors.WithStack(ErrNoReplica))
		return
	}
	evicted, err := d.queue.Offer(admit.Request{
		ID: id, Team: m.request.Team, Class: class, Tokens: m.request.Tokens,
		Bytes: m.request.Bytes, Deadline: m.request.Deadline, MinRunTime: d.minRunTime(m.request),
	}, now)
	d.refuseEach(evicted)
	if err != nil {
		d.refuse(w, err)
		return
	}
	d.waiting[id] = w
	d.classes[class] = m.request
}

const (
	// runTimeAverageWeight is the weight of the previous value in the exponential
	// moving average of an item's run time.
	runTimeAverageWeight = 0.9
	// minRunTimeShare is the fraction of an item's average run time that is assumed
	// as the minimum for every request. It is well below 1 because answers differ in
	// length, and a request that could still be answered must not be refused.
	minRunTimeShare = 0.3
	// maxRunTimes bounds the number of items whose average run time is kept.
	maxRunTimes = 4096
)

// minRunTime returns the minimum run time that is assumed for a request.
func (d *Dispatcher) minRunTime(r *Request) time.Duration {
	if r.MinRunTime > 0 {
		return r.MinRunTime
	}
	return time.Duration(minRunTimeShare * float64(d.averageRunTimes[r.Item]))
}

// recordRunTime adds a measured run time to the moving average of an item.
func (d *Dispatcher) recordRunTime(i route.Item, took time.Duration) {
	average, known := d.averageRunTimes[i]
	if known {
		d.averageRunTimes[i] = time.Duration(runTimeAverageWeight*float64(average) + (1-runTimeAverageWeight)*float64(took))
		return
	}
	if len(d.averageRunTimes) >= maxRunTimes {
		clear(d.averageRunTimes)
	}
	d.averageRunTimes[i] = took
}

func (d *Dispatcher) remove(id uint64) bool {
	w := d.waiting[id]
	if w == nil {
		return false
	}
	delete(d.waiting, id)
	return d.queue.Remove(w.request.Team, id)
}

func (d *Dispatcher) finish(m finishMessage, now time.Time) {
	r := m.grant.request
	d.router.Finished(m.grant.Upstream.Name, r.Item, m.healthy, now)
	d.queue.CorrectCost(r.Team, m.tokens-r.Tokens)
	if m.healthy && m.tokens > 0 {
		d.recordRunTime(r.Item, now.Sub(m.grant.dispatchedAt))
	}
	d.stats.Served[r.Team] += m.tokens
	d.stats.InFlight--
}

// refuseEach returns the refusals of the queue to the callers of the requests.
func (d *Dispatcher) refuseEach(refusals []*admit.Refusal) {
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

// cause returns the name of a refusal in the statistics.
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

// dispatchQueued refuses the requests whose deadline can no longer be met and
// dispatches those for which an upstream is available.
func (d *Dispatcher) dispatchQueued(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	d.refuseEach(d.queue.Expire(now))
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

// canRun reports whether an upstream is available for the requests of a class. It
// records the item's limit if only this VM's share of it is used up.
func (d *Dispatcher) canRun(class string, now time.Time) bool {
	r := d.classes[class]
	err := d.router.Available(r.query(d.localLimit(r, now)), now)
	if errors.Is(err, route.ErrShareUsed) {
		d.exhaustedLimits[r.Item] = r.MaxInFlight
	}
	return err == nil
}

// localLimit returns this VM's share of an item's limit, or 0 if the item has none.
func (d *Dispatcher) localLimit(r *Request, now time.Time) int {
	if r.MaxInFlight <= 0 {
		return 0
	}
	return d.limitShares.Share(r.Item, r.MaxInFlight, now)
}

// dispatch assigns a request to an upstream. The request's key is checked at this
// point because a request whose key was withdrawn while it was queued must not reach
// an upstream.
func (d *Dispatcher) dispatch(w *waiter, now time.Time) {
	r := w.request
	if r.Check != nil {
		if err := r.Check(); err != nil {
			d.queue.CorrectCost(r.Team, -r.Tokens)
			d.refuse(w, err)
			return
		}
	}
	upstream, err := d.router.Pick(r.query(d.localLimit(r, now)), now, d.rng)
	if err != nil {
		d.queue.CorrectCost(r.Team, -r.Tokens)
		d.refuse(w, errors.Wrap(ErrNoReplica, err.Error()))
		return
	}
	d.router.Started(upstream.Name, r.Item, now)
	d.stats.InFlight++
	w.reply <- result{grant: &Grant{Upstream: upstream, dispatcher: d, request: r, dispatchedAt: now}}
}

// refresh applies the newest fleet, team weights and heartbeats, refuses requests
// whose item no upstream has served for replicaTimeout, and borrows shares of
// exhausted limits.
func (d *Dispatcher) refresh(ctx context.Context) {
	now := time.Now()
	if f := d.options.Fleet(); f != d.fleet {
		d.fleet = f
		d.router.SetFleet(f)
	}
	for _, t := range d.options.Teams() {
		d.queue.SetWeight(t.Name, t.Weight)
	}
	d.applyHeartbeats()
	d.refuseUnserved(now)
	d.borrow(ctx, now)
	d.publish()
}

// applyHeartbeats adds the tokens that the other VMs have served since the last call
// to the queue. A count that has decreased means that the set of VMs has changed; it
// becomes the new baseline.
func (d *Dispatcher) applyHeartbeats() {
	peers := d.options.Peers()
	served := make(map[string]int64, len(peers.Served))
	for team, n := range peers.Served {
		if previous, known := d.peers.Served[team]; known && n > previous {
			served[team] = n - previous
		}
	}
	if len(served) > 0 {
		d.queue.ServedElsewhere(served)
	}
	d.peers = peers
	d.limitShares.SetFleet(peers.VMs, peers.Rank)
	own := max(1, d.stats.InFlight)
	d.router.SetFleetMultiplier(min(float64(peers.VMs), float64(own+peers.InFlight)/float64(own)))
}

// refuseUnserved refuses the requests that have been queued for replicaTimeout and
// whose item no upstream serves, and drops the classes that have no queued request.
func (d *Dispatcher) refuseUnserved(now time.Time) {
	classes := make(map[string]*Request, len(d.classes))
	for id, w := range d.waiting {
		classes[w.class] = w.request
		if now.Sub(w.queuedAt) < replicaTimeout {
			continue
		}
		err := d.router.Available(w.request.query(0), now)
		if !errors.Is(err, route.ErrNoReplica) {
			continue
		}
		d.remove(id)
		d.refuse(w, errors.WithStack(ErrNoReplica))
	}
	d.classes = classes
}

// publish stores a copy of the statistics for readers in other goroutines.
func (d *Dispatcher) publish() {
	s := d.stats
	s.Served = maps.Clone(s.Served)
	s.Refused = maps.Clone(s.Refused)
	s.Queued = make(map[string]int)
	for _, w := range d.waiting {
		s.Queued[w.request.Team]++
	}
	d.published.Store(&s)
}
