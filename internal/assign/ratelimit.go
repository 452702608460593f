package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// RecordRateLimit records what the answer to a choice's request says about the rate limit of the
// upstream, and reports whether that is a change.
func (s *Assigner) RecordRateLimit(c *Choice, named upstream.RateLimit, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.rateLimits.Observe(c.Key, named, c.placedAt, now)
	if changed {
		s.rateLimitSnapshot = nil
	}
	return changed
}

// MergeRateLimit applies what another VM knows of an upstream's rate limit, and reports whether that is
// newer.
func (s *Assigner) MergeRateLimit(k upstreamrate.Key, l upstreamrate.Limit, now time.Time) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.rateLimits.Merge(k, l, now)
	if changed {
		s.rateLimitSnapshot = nil
	}
	return changed
}

// RateLimit returns what is known of the rate limit of an upstream, also if it has ended. ok is false if
// the upstream has never named one.
func (s *Assigner) RateLimit(k upstreamrate.Key) (l upstreamrate.Limit, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimits.Last(k)
}

// RateLimits returns the rate limits of the known upstreams.
func (s *Assigner) RateLimits() *upstreamrate.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimitSnapshot == nil {
		s.rateLimitSnapshot = s.rateLimits.Snapshot(s.knows)
	}
	return s.rateLimitSnapshot
}

// RetainRateLimits forgets the rate limits of upstreams that have not been known for a while.
func (s *Assigner) RetainRateLimits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimits.Retain(s.knows, now)
}

// IssuePermit issues a permit to send one request to an upstream, on the VM that issues its permits.
// needed means that no other upstream can take the request. A VM that has just started issues none.
func (s *Assigner) IssuePermit(k upstreamrate.Key, needed bool, now time.Time) upstreamrate.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := s.settlesIn(now); left > 0 {
		return upstreamrate.Decision{RetryAfter: left}
	}
	return s.rateLimits.Issue(k, needed, now)
}

// RecordPermit records that a permit was granted for a choice.
func (s *Assigner) RecordPermit(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordPlaced(c, now)
}

// RecordDenial releases the place of a choice for which no permit was granted.
func (s *Assigner) RecordDenial(c *Choice, retryAfter time.Duration, now time.Time) {
	s.mu.Lock()
	s.rateLimits.RecordDenial(c.Key, c.LastChoice, now.Add(retryAfter))
	s.mu.Unlock()
	s.Finish(c, Neutral, now)
}

// knows reports whether an upstream is known. It must be called with the lock held.
func (s *Assigner) knows(k upstreamrate.Key) bool {
	n := s.nodes[k.Instance]
	return n != nil && n.key() == k
}

// rateLimited reports whether an instance names a rate limit.
func (s *Assigner) rateLimited(n *node) bool {
	if s.rateLimits.IsEmpty() {
		return false
	}
	_, ok := s.rateLimits.Limit(n.key())
	return ok
}

// permitIn returns the time until a permit may be available for one of the instances that hold an item
// and name a rate limit, zero if there is none.
func (s *Assigner) permitIn(req Request, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, n := range s.nodes {
		if !s.rateLimited(n) || !req.admits(n) || !n.responsive(now) || s.stateAvailability(n, now) == unavailable {
			continue
		}
		if !n.holdsItemOf(req) {
			continue
		}
		needed, _ := s.rateLimits.NextPermits(n.key())
		if left := needed.Sub(now); left > 0 && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}
