package assign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
	"github.com/chestnutarch/chestnutarch/internal/upstreamload"
	"github.com/chestnutarch/chestnutarch/internal/upstreamrate"
)

// ErrContradictoryLoad means that an upstream reports fewer requests than this VM alone has there.
var ErrContradictoryLoad = errors.New("assign: the upstream reports fewer requests than this VM has there")

// ErrAbsurdSlowdown means that an upstream reports a slowdown that no upstream has.
var ErrAbsurdSlowdown = errors.New("assign: the upstream reports an absurd slowdown")

// maxCorrection bounds, in multiples of the upstream's slots, the requests that an upstream may report beyond the known ones.
const maxCorrection = 4

// reported is what the answers of an upstream say about its own work.
type reported struct {
	slowdown upstreamload.Slowdown
	requests upstreamload.Requests
}

// RecordedLoad is what a reported load has changed.
type RecordedLoad struct {
	// Decisive means that the upstream is faster or slower than was expected by so much that it may change a choice. Before is
	// the slowdown that was expected.
	Decisive bool
	Before   float64
	// Err is ErrContradictoryLoad or ErrAbsurdSlowdown, wrapped, if a part of the report was ignored.
	Err error
}

// IgnoreReportedLoad makes the Assigner ignore what upstreams report of their own work.
func (s *Assigner) IgnoreReportedLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoreReportedLoad = true
}

// RecordLoad records the load that the answer to a choice reports.
func (s *Assigner) RecordLoad(c *Choice, load upstream.ReportedLoad, now time.Time) (out RecordedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoreReportedLoad || !load.Known {
		return out
	}
	n := c.node
	if n.reported == nil {
		n.reported = &reported{}
	}
	s.reporting[n.instance.Service] = true
	out.Err = n.recordReportedRequests(c, load, now)
	if load.Slowdown == 0 {
		return out
	}
	if load.Slowdown < upstreamload.MinSlowdown || load.Slowdown > upstreamload.MaxSlowdown {
		out.Err = errors.Wrapf(ErrAbsurdSlowdown, "%s: %g", c.Instance, load.Slowdown)
		return out
	}
	out.Before = n.reported.slowdown.Expected(s.persistenceOf(n), now)
	out.Decisive = n.reported.slowdown.Record(s.persistenceOf(n), load.Slowdown, now)
	return out
}

// recordReportedRequests records how many requests of other VMs the upstream has.
func (n *node) recordReportedRequests(c *Choice, load upstream.ReportedLoad, now time.Time) error {
	count := load.Running + load.Waiting
	if arrived := n.arrivedBefore(c); count < arrived {
		return errors.Wrapf(ErrContradictoryLoad, "%s: %d of %d", c.Instance, count, arrived)
	}
	own := n.local.requests
	if c.request.Model == "" {
		// The answer of a service without engines ends the request.
		own--
	}
	others := min(count-own, n.peerRequests(now)+maxCorrection*max(1, n.instance.Slots))
	n.reported.requests.Record(others, now)
	return nil
}

// arrivedBefore returns how many unanswered requests of this VM were sent to the upstream before a choice and do not wait for
// permits.
func (n *node) arrivedBefore(c *Choice) int {
	count := 0
	for other := range n.unanswered {
		if other != c && !other.awaitsPermit && other.placedAt.Before(c.placedAt) {
			count++
		}
	}
	return count
}

// peerRequests returns the number of requests of other VMs at the upstream as far as they have reported them.
func (n *node) peerRequests(now time.Time) int {
	sum := 0
	for _, r := range n.peers {
		if now.Sub(r.receivedAt) <= reportLifetime {
			sum += r.requests
		}
	}
	return sum
}

// correctedRequests corrects the number of requests that VMs have reported by what the upstream itself has reported.
func (n *node) correctedRequests(known int, now time.Time) int {
	if n.reported == nil {
		return known
	}
	return max(n.local.requests, known+n.reported.requests.Correction(known-n.local.requests, now))
}

// slowdown returns how much longer than usual work is expected to take at an upstream now, by what it has reported and by what VMs
// have observed beside that.
func (s *Assigner) slowdown(n *node, now time.Time) float64 {
	factor := 1.0
	if n.speed != nil {
		factor = n.speed.factor
	}
	if n.reported != nil {
		factor *= n.reported.slowdown.Expected(s.persistenceOf(n), now)
	}
	return factor
}

// persistenceOf returns how long reported slowdowns of the upstream's service last.
func (s *Assigner) persistenceOf(n *node) *upstreamload.Persistence {
	p := s.slowdownPersistence[n.instance.Service]
	if p == nil {
		p = &upstreamload.Persistence{}
		s.slowdownPersistence[n.instance.Service] = p
	}
	return p
}

// ReportedSlowdown is what an upstream has reported of its speed.
type ReportedSlowdown struct {
	Upstream upstreamrate.Key
	Slowdown float64
	At       time.Time
}

// SlowdownOf returns the last slowdown that an upstream has reported. It returns false if it has reported none.
func (s *Assigner) SlowdownOf(instance string) (ReportedSlowdown, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[instance]
	if n == nil || n.reported == nil || n.reported.slowdown.At().IsZero() {
		return ReportedSlowdown{}, false
	}
	return ReportedSlowdown{Upstream: n.key(), Slowdown: n.reported.slowdown.Last(), At: n.reported.slowdown.At()}, true
}

// MergeSlowdown records a slowdown that another VM has heard of. It returns the slowdown that was expected, and whether the
// difference may change a choice.
func (s *Assigner) MergeSlowdown(told ReportedSlowdown) (before float64, decisive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[told.Upstream.Instance]
	if s.ignoreReportedLoad || n == nil || n.key() != told.Upstream || told.Slowdown < upstreamload.MinSlowdown || told.Slowdown > upstreamload.MaxSlowdown {
		return 0, false
	}
	if n.reported == nil {
		n.reported = &reported{}
	}
	before = n.reported.slowdown.Expected(s.persistenceOf(n), told.At)
	return before, n.reported.slowdown.Record(s.persistenceOf(n), told.Slowdown, told.At)
}

// SlowUpstreams returns the number of upstreams at which work is expected to take longer than usual.
func (s *Assigner) SlowUpstreams(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.nodes {
		if s.slowdown(n, now) > 1 {
			count++
		}
	}
	return count
}
