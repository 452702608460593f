package assign

import (
	"maps"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// RecordRetryAfter records that an upstream wants no requests from this VM for some time from now. A
// shorter time does not replace a longer one: the answers to two requests may overtake each other.
func (s *Assigner) RecordRetryAfter(c *Choice, d time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(d); until.After(s.retryAt[c.Key]) {
		s.retryAt[c.Key] = until
	}
}

// RetryLaterCount returns the number of upstreams that want no requests from this VM at present.
func (s *Assigner) RetryLaterCount(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRetryAt(now)
	return len(s.retryAt)
}

// UnsuitableHolders returns the instances that cannot take a request although they hold its item or its model: because
// they want no requests from this VM at present, have failed this request, or have another version than it is bound to.
func (s *Assigner) UnsuitableHolders(req Request, now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRetryAt(now)
	var out []string
	for id, n := range s.nodes {
		if n.instance.Service != req.Service || !n.holds(req.Model) {
			continue
		}
		if (s.wantsNoRequests(n, now) && n.holdsItemOf(req)) || req.Avoid[id] || !req.allowsVersion(n) {
			out = append(out, id)
		}
	}
	return out
}

// expireRetryAt forgets the upstreams that may get requests again.
func (s *Assigner) expireRetryAt(now time.Time) {
	maps.DeleteFunc(s.retryAt, func(_ upstreamrate.Key, until time.Time) bool { return !now.Before(until) })
}

// wantsNoRequests reports whether an instance has asked this VM for no requests for a time that has not
// passed.
func (s *Assigner) wantsNoRequests(n *node, now time.Time) bool {
	return len(s.retryAt) > 0 && now.Before(s.retryAt[n.key()])
}

// retryIn returns the time until the first of the instances that hold an item, and want no requests for
// now, may get requests again, zero if there is none.
func (s *Assigner) retryIn(req Request, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, n := range s.nodes {
		if !s.wantsNoRequests(n, now) || !req.admits(n) || !n.holdsItemOf(req) || n.instance.Draining || n.instance.Evacuated() {
			continue
		}
		if left := s.retryAt[n.key()].Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

// spread lengthens a retry delay to up to twice itself. All requests rejected for want of room at the same time would come
// back at the same time.
func spread(delay time.Duration, req Request) time.Duration {
	return delay + time.Duration(req.jitter("")*float64(delay))
}

// refuseUntilAccepted refuses a request that an instance may take at a known time, because it wants no
// requests until then, or a permit may be available for it. It returns nil if there is no such instance.
func (s *Assigner) refuseUntilAccepted(req Request, now time.Time) *Refused {
	cause, wait := ErrRateLimited, s.permitIn(req, now)
	if _, brittle := s.brittle[req.Service]; brittle {
		cause = ErrNoRoom
	}
	if retry := s.retryIn(req, now); retry > 0 && (wait == 0 || retry < wait) {
		cause, wait = ErrRetryLater, retry
	}
	if wait == 0 {
		return nil
	}
	delay := retryAfter(now, req, wait)
	if cause == ErrNoRoom {
		delay = retryAfter(now, req, spread(delay, req))
	}
	return &Refused{Cause: cause, RetryAfter: delay, Wait: wait, Holdable: true}
}
