package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

const (
	// drainMs is how long after the answer of an upstream that leaves a VM may still send it new requests.
	drainMs = 2000
	// retryAfterGrace is how long after a rejection with a retry time a VM may still send requests to the
	// upstream, and retryAfterTolerance how many it may send from then until that time has passed.
	retryAfterGrace     = 500 * time.Millisecond
	retryAfterTolerance = 2
)

// drawPushback draws when upstreams say in answers alone that they leave, and when they shed load; none if
// the run has none. They are drawn after all other faults, so that a seed gives the same faults with and
// without them.
func (w *world) drawPushback(r *rand.Rand, length time.Duration) []fault {
	if !w.pushback {
		return nil
	}
	var all []fault
	for range 4 {
		u, v := pick(r, w.upstreams), pick(r, w.upstreams)
		at := func() time.Duration { return time.Duration(r.Int64N(int64(length))) }
		all = append(all, fault{
			start: at(), duration: 3*time.Second + time.Duration(r.Int64N(int64(4*time.Second))), name: u.ID + " leaves, by its answers alone",
			begin: u.Leave, end: func() { w.restartReplica(u); w.writeEntry(u) },
		})
		d := time.Second + time.Duration(r.Int64N(int64(3*time.Second)))
		all = append(all, fault{
			start: at(), duration: d, name: fmt.Sprintf("%s sheds load for %v", v.ID, d.Round(time.Millisecond)), begin: func() { v.ShedLoad(d) },
		})
	}
	return all
}

// arrival is a request that reached an upstream, with the attempt that it belongs to.
type arrival struct {
	*attempt
	at   time.Time
	born int64
	run  *standin.Run
	shed *standin.ShedRequest
}

// arrivalsAt returns the requests of known attempts that reached an upstream, by VM, in order.
func (o *oracle) arrivalsAt(u *upstream) map[*vm][]arrival {
	out := make(map[*vm][]arrival)
	add := func(id string, x arrival) {
		if a := o.attempts[id]; a != nil {
			x.attempt = a
			out[a.vm] = append(out[a.vm], x)
		}
	}
	for _, r := range u.Runs() {
		add(r.ID, arrival{at: r.At, born: r.Born, run: &r})
	}
	for _, s := range u.ShedRequests() {
		add(s.ID, arrival{at: s.At, born: s.Born, shed: &s})
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	}
	return out
}

// checkPushback checks that VMs keep what upstreams say about the requests that they take.
func (o *oracle) checkPushback(w *world, runs map[string][]standin.Run) {
	for _, u := range w.upstreams {
		for v, list := range o.arrivalsAt(u) {
			o.checkLeaving(u, v, list, runs)
			o.checkRetryAfter(u, v, list)
		}
	}
}

// checkLeaving checks that an upstream got no request from a VM long after the VM had passed on an answer
// which says that the upstream leaves. Only answers to requests that ran once are known to come from it.
func (o *oracle) checkLeaving(u *upstream, v *vm, list []arrival, runs map[string][]standin.Run) {
	told := make(map[int64]time.Time)
	for _, x := range list {
		if x.run != nil && x.run.Leaving && x.answer.Err == nil && x.answer.Signed && len(runs[x.ID]) == 1 && told[x.born].IsZero() {
			told[x.born] = x.ended
		}
	}
	for _, x := range list {
		at, ok := told[x.born]
		if ok && x.sent.Sub(at) > drainMs*time.Millisecond && !v.interruptedBetween(at, x.at) {
			o.reportViolation("leaving", "%s reached %s from %s %v after an answer had said that it leaves", x.ID, u.ID, v.Name, x.at.Sub(at))
		}
	}
}

// checkRetryAfter checks that an upstream got few requests from a VM in the time for which it wanted none.
func (o *oracle) checkRetryAfter(u *upstream, v *vm, list []arrival) {
	for _, x := range list {
		if x.shed == nil {
			continue
		}
		from, to := x.at.Add(retryAfterGrace), x.at.Add(x.shed.RetryAfter)
		count := 0
		for _, y := range list {
			if y.born == x.born && y.at.After(from) && y.at.Before(to) {
				count++
			}
		}
		if count > retryAfterTolerance && !v.interruptedBetween(x.at, to) {
			o.reportViolation("retry after", "%s got %d requests from %s in the %v for which it wanted none", u.ID, count, v.Name, x.shed.RetryAfter)
			return
		}
	}
}
