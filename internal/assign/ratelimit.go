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
	return s.rateLimits.Observe(upstreamrate.KeyOf(&c.node.instance), named, c.placedAt, now)
}

// RateLimited returns the number of known upstreams that name a rate limit.
func (s *Assigner) RateLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.nodes {
		if s.rateLimited(n) {
			count++
		}
	}
	return count
}

// RetainRateLimits forgets the rate limits of upstreams that have not been known for a while.
func (s *Assigner) RetainRateLimits(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimits.Retain(func(k upstreamrate.Key) bool {
		n := s.nodes[k.Instance]
		return n != nil && upstreamrate.KeyOf(&n.instance) == k
	}, now)
}

// rateLimited reports whether an instance names a rate limit.
func (s *Assigner) rateLimited(n *node) bool {
	_, ok := s.rateLimits.Limit(upstreamrate.KeyOf(&n.instance))
	return ok
}
