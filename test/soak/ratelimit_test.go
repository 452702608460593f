package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// rateLimit is the limit in requests per second that upstreams name. Within rateLimitWindow they
	// tolerate rateLimitTolerance requests, once rateLimitGrace has passed since they first named it.
	rateLimit          = 2
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = rateLimit*3/2*4 + 5
	rateLimitGrace     = 3 * time.Second
)

// drawRateLimits draws the rate limits that upstreams name during the faults of a run, none if it has
// none. They are drawn after all other faults, so that a seed gives the same faults with and without
// them.
func (w *world) drawRateLimits(r *rand.Rand, length time.Duration) []fault {
	if !w.rateLimits {
		return nil
	}
	var all []fault
	for range 4 {
		u := pick(r, w.upstreams)
		limit := pick(r, []float64{0, 0.5, rateLimit, 10})
		all = append(all, fault{
			start: time.Duration(r.Int64N(int64(length))), duration: 500*time.Millisecond + time.Duration(r.Int64N(int64(5*time.Second))),
			name: fmt.Sprintf("%s names a rate limit of %v", u.ID, limit), begin: func() { u.NameRateLimit(limit) }, end: u.EndRateLimit,
		})
	}
	return all
}

// checkRateLimits makes one engine and one plain service name a limit, and checks that all VMs together
// keep it, during the given steps too, and end it with the upstreams.
func (w *world) checkRateLimits(during func()) {
	if !w.rateLimits {
		during()
		return
	}
	limited := []*upstream{w.upstreams[0], w.upstreams[1]}
	for _, u := range limited {
		u.NameRateLimit(rateLimit)
	}
	began := time.Now()
	time.Sleep(rateLimitGrace + rateLimitWindow + time.Second)
	during()
	for _, u := range limited {
		if most := u.MostRuns(began.Add(rateLimitGrace), rateLimitWindow); most > rateLimitTolerance {
			w.oracle.reportViolation("rate limit", "%s ran %d requests in %v, tolerated are %d", u.ID, most, rateLimitWindow, rateLimitTolerance)
		}
		u.EndRateLimit()
		ended := time.Now()
		w.eventually(u.ID+" gets more requests after its limit has ended", func() bool {
			return u.MostRuns(ended, rateLimitWindow) > rateLimitTolerance
		})
	}
}
