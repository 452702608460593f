package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/concurrency"
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
		s.limitChanged(c.Key, now)
	}
	if named.Brittle {
		delete(s.unconfirmed, c.Instance)
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
		s.limitChanged(k, now)
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
	return s.snapshotRateLimits()
}

// snapshotRateLimits returns the rate limits of the known upstreams. It must be called with the lock held.
func (s *Assigner) snapshotRateLimits() *upstreamrate.Snapshot {
	if s.rateLimitSnapshot != nil {
		return s.rateLimitSnapshot
	}
	s.rateLimitSnapshot = s.rateLimits.Snapshot(s.knows)
	before := s.brittleSince
	s.brittle, s.brittleSince = make(map[string]int), make(map[string]time.Time)
	for instance, n := range s.rateLimitSnapshot.Brittle() {
		service := s.nodes[instance].instance.Service
		if least, ok := s.brittle[service]; !ok || n < least {
			s.brittle[service] = n
		}
		s.brittleSince[service] = before[service]
	}
	s.unconfirmed = s.rateLimitSnapshot.Unconfirmed(func(instance string) string { return s.nodes[instance].instance.Service })
	return s.rateLimitSnapshot
}

// limitChanged notes that the limit of an upstream has changed, which may make its service brittle. It must be called with
// the lock held.
func (s *Assigner) limitChanged(k upstreamrate.Key, now time.Time) {
	s.rateLimitSnapshot = nil
	l, ok := s.rateLimits.Limit(k)
	if !ok || !l.Brittle || !s.knows(k) {
		return
	}
	service := s.nodes[k.Instance].instance.Service
	if s.brittleSince[service].IsZero() {
		s.brittleSince[service] = now
	}
}

// BrittleServices returns the services with brittle upstreams, with the least number of requests that one of them may reject
// in a second. The result must not be modified.
func (s *Assigner) BrittleServices() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotRateLimits()
	return s.brittle
}

// isBrittle reports whether an instance belongs to a service with brittle upstreams: those that this VM has not heard from
// are too, as are upstreams that have just started.
func (s *Assigner) isBrittle(n *node) bool {
	if s.rateLimits.IsEmpty() {
		return false
	}
	s.snapshotRateLimits()
	_, ok := s.brittle[n.instance.Service]
	return ok
}

// isUnconfirmed reports whether an instance keeps its service brittle although another one has ceased to be, and has no
// request of this VM. The answer to one shows whether it still is: without any the service would stay brittle.
func (s *Assigner) isUnconfirmed(n *node) bool {
	if s.rateLimits.IsEmpty() {
		return false
	}
	s.snapshotRateLimits()
	return s.unconfirmed[n.instance.ID] && n.local.requests == 0
}

// unconfirmedOf returns those of the engines whose answer would show whether their service is still brittle.
func (s *Assigner) unconfirmedOf(engines []*node) []*node {
	if s.rateLimits.IsEmpty() {
		return nil
	}
	var out []*node
	for _, n := range engines {
		if s.isUnconfirmed(n) {
			out = append(out, n)
		}
	}
	return out
}

// Concurrency returns what is known of an upstream by which its permits are issued. ok is false if it is not known.
func (s *Assigner) Concurrency(k upstreamrate.Key, now time.Time) (u concurrency.Upstream, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[k.Instance]
	if n == nil || n.key() != k {
		return concurrency.Upstream{}, false
	}
	s.snapshotRateLimits()
	service := n.instance.Service
	return concurrency.Upstream{
		Slots: n.instance.Slots, InFlight: n.total(now, 0).requests - n.awaitingPermits, MaxRejections: s.brittle[service],
		KnownFor: now.Sub(s.brittleSince[service]),
	}, true
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
	c.endPermitWait()
	c.placedAt = now
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

// needsPermit reports whether requests are sent to an instance only with permits: because it names a rate limit, or is
// brittle.
func (s *Assigner) needsPermit(n *node) bool {
	if s.rateLimits.IsEmpty() {
		return false
	}
	if l, ok := s.rateLimits.Limit(n.key()); ok && l.Rated() {
		return true
	}
	return s.isBrittle(n)
}

// permitIn returns the time until a permit may be available for one of the instances that hold an item
// and name a rate limit, zero if there is none.
func (s *Assigner) permitIn(req Request, now time.Time) time.Duration {
	first := time.Duration(0)
	for _, n := range s.nodes {
		if !s.needsPermit(n) || !req.admits(n) || !n.responsive(now) || s.stateAvailability(n, now) == unavailable {
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
