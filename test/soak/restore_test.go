package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// restoreInterval is the mean time between two restores of the store, maxCopyAge the largest age of the copies.
	restoreInterval = 3 * time.Second
	maxCopyAge      = 4 * time.Second
	// maxRewriteDelay is the longest time from a restore until operator and upstreams have written again.
	maxRewriteDelay = 400 * time.Millisecond
)

// drawRestores draws the moments at which copies of the store are taken and those at which it comes back from them. One in
// four copies is of before the VMs started.
func (w *world) drawRestores(r *rand.Rand, length time.Duration) (all []fault) {
	if !w.restores {
		return nil
	}
	for n := int(length / restoreInterval); n > 0; n-- {
		from, outage, rewrite := w.firstCopy, durationUpTo(r, time.Second), durationUpTo(r, maxRewriteDelay)
		old := r.IntN(4) == 0
		all = append(all, fault{
			ofStore: true, name: fmt.Sprintf("the store comes back from a copy, of before the start: %v", old),
			start: time.Duration(r.Int64N(int64(length))), duration: durationUpTo(r, maxCopyAge),
			begin: func() {
				if !old {
					from = w.store.Copy()
				}
			},
			end: func() {
				w.disturbStore()
				w.store.Override(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
				time.Sleep(outage)
				w.store.Restore(from)
				w.store.Override(nil)
				time.Sleep(rewrite)
				w.writeAgain()
				w.disturbStore()
			},
		})
	}
	return all
}

func durationUpTo(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}

// writeAgain writes what the operator and the upstreams have in the store.
func (w *world) writeAgain() {
	w.mu.Lock()
	w.store.Put("op/config", w.manifest.Value())
	w.mu.Unlock()
	for _, u := range w.upstreams {
		w.writeEntry(u)
	}
}
