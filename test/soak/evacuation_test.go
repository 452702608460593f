package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// evacuatedZone is the zone that is evacuated, evacuationKey the key of the store by which the
	// operator requests it.
	evacuatedZone = "b"
	evacuationKey = "op/evacuate/" + evacuatedZone
	// coldTolerance is how many requests within a second a cold engine tolerates.
	coldTolerance = 14
	// observedEvacuation is how long checkEvacuation observes an evacuated zone.
	observedEvacuation = 2 * time.Second
)

// drawEvacuations draws the evacuations of a run, none if it has none. They are drawn after all other
// faults, so that a seed gives the same faults with and without them.
func (w *world) drawEvacuations(r *rand.Rand, length time.Duration) []fault {
	if !w.evacuations {
		return nil
	}
	var all []fault
	for range 2 {
		all = append(all, fault{
			start: time.Duration(r.Int64N(int64(length))), duration: 500*time.Millisecond + time.Duration(r.Int64N(int64(3*time.Second))),
			name: "evacuate " + evacuatedZone, begin: w.beginEvacuation, end: w.endEvacuation,
		})
	}
	return all
}

func (w *world) beginEvacuation() { w.store.Put(evacuationKey, map[string]any{}) }

// endEvacuation gives the zone back, with all its engines cold.
func (w *world) endEvacuation() {
	for _, u := range w.upstreams {
		if u.zone == evacuatedZone && u.service == "engine" {
			u.BecomeCold(coldStart)
		}
	}
	w.store.Delete(evacuationKey)
}

// checkEvacuation evacuates a zone while all VMs are in touch with the store. Once the time for an
// evacuation has passed, no request may run there until the zone is given back, and then requests must
// run there again.
func (w *world) checkEvacuation() {
	w.beginEvacuation()
	time.Sleep(evacuationMs * time.Millisecond)
	from := time.Now()
	time.Sleep(observedEvacuation)
	until := time.Now()
	w.endEvacuation()
	for _, u := range w.upstreams {
		if u.zone != evacuatedZone {
			continue
		}
		for _, run := range u.Runs() {
			if run.At.After(from) && run.At.Before(until) {
				w.oracle.reportViolation("evacuation", "%s ran at %s %v after the evacuation had to be complete", run.ID, u.ID, run.At.Sub(from))
			}
		}
		before := len(u.Runs())
		w.eventually(u.ID+" gets requests after its zone was given back", func() bool { return len(u.Runs()) > before })
	}
	w.checkColdEngines()
}

// checkColdEngines checks that no engine got more requests than it tolerates after the zone was given
// back. During faults no bound holds: VMs that are cut off cannot know which engines are cold.
func (w *world) checkColdEngines() {
	for _, u := range w.upstreams {
		if u.zone == evacuatedZone && u.MostColdRuns() > coldTolerance {
			w.oracle.reportViolation("cold", "%s ran %d requests within a second while it was cold", u.ID, u.MostColdRuns())
		}
	}
}
