package route

import "time"

// Started records that a request was dispatched to an engine.
func (r *Router) Started(engine string, i Item, now time.Time) {
	r.stateOf(engine).record(now, 1)
	if i.Adapter != "" {
		r.adapterInFlight[i]++
	}
}

// Finished records that a request has ended at an engine. healthy is false if the
// engine failed the request: it was unreachable, sent no response, truncated the
// response or answered another request. Caller actions, such as a disconnect, do
// not count as failures of the engine.
func (r *Router) Finished(engine string, i Item, healthy bool, now time.Time) {
	t := r.stateOf(engine)
	t.record(now, -1)
	if i.Adapter != "" {
		r.releaseAdapter(i)
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

func (r *Router) releaseAdapter(i Item) {
	if r.adapterInFlight[i] <= 1 {
		delete(r.adapterInFlight, i)
		return
	}
	r.adapterInFlight[i]--
}

// eject ejects an engine for a limited time, unless too many are ejected already.
// A fault of this VM's own network looks like a failure of every engine; without
// the limit it would eject them all.
func (r *Router) eject(t *engineState, now time.Time) {
	if now.Before(t.ejectedUntil) {
		return
	}
	ejected := 0
	for _, other := range r.engines {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if !r.faults.ejectAll && float64(ejected+1) > r.options.MaxEjected*float64(len(r.fleet.Engines)) {
		return
	}
	t.ejectedUntil = now.Add(r.options.EjectFor << min(t.ejections, maxEjectDoublings))
	t.ejections++
	t.failures = 0
}

// InFlight returns the number of this VM's requests in flight at an engine.
func (r *Router) InFlight(engine string) int {
	return r.stateOf(engine).inFlight
}

// AdapterInFlight returns the number of this VM's requests in flight for an adapter.
func (r *Router) AdapterInFlight(i Item) int {
	return r.adapterInFlight[i]
}
