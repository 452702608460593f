package route

import "time"

// Started notes that a request was given to an engine.
func (r *Router) Started(engine string, i Item, now time.Time) {
	r.tracked(engine).note(now, 1)
	if i.Adapter != "" {
		r.adapter[i]++
	}
}

// Finished notes that a request has ended at an engine. Healthy is false if the
// engine failed it: unreachable, silent, truncated or answering another request. What a
// caller did, such as going away, is not the engine's failure.
func (r *Router) Finished(engine string, i Item, healthy bool, now time.Time) {
	t := r.tracked(engine)
	t.note(now, -1)
	if i.Adapter != "" {
		r.release(i)
	}
	if healthy {
		t.failures, t.ejections = 0, 0
		return
	}
	t.failures++
	if t.failures >= r.options.EjectAfter {
		r.eject(t, now)
	}
}

func (r *Router) release(i Item) {
	if r.adapter[i] <= 1 {
		delete(r.adapter, i)
		return
	}
	r.adapter[i]--
}

// eject takes an engine out for a while, unless too many are out. A fault of our
// own network looks like a failure of every engine; with no bound it would leave
// none to serve.
func (r *Router) eject(t *tracked, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	out := 0
	for _, other := range r.engines {
		if now.Before(other.ejectedUntil) {
			out++
		}
	}
	if !r.faults.ejectAll && float64(out+1) > r.options.MaxEjected*float64(len(r.fleet.Engines)) {
		return
	}
	t.ejectedUntil = now.Add(r.options.EjectFor << min(t.ejections, maxEjectDoublings))
	t.ejections++
	t.failures = 0
}

// InFlight returns this VM's requests at an engine.
func (r *Router) InFlight(engine string) int {
	return r.tracked(engine).inFlight
}

// AdapterInFlight returns this VM's requests for an adapter.
func (r *Router) AdapterInFlight(i Item) int {
	return r.adapter[i]
}
