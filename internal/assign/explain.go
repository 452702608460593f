package assign

import (
	"cmp"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// Explanation says which upstream Choose would reserve for a request, and why.
type Explanation struct {
	// Decision is what Choose would decide, Refused its error, nil if it would choose an upstream.
	Decision Decision
	Refused  *Refused
	// Candidates are the upstreams of the request's service: those that could be chosen by their cost, then the others by
	// ID.
	Candidates []Candidate
}

// Decision is a choice that reserves nothing. It is the zero value if no upstream would be chosen.
type Decision struct {
	// Instance is the ID of the upstream, Rule why it is chosen.
	Instance string
	Rule     Rule
	// Expected is the expected time to the first event.
	Expected time.Duration
	// NeedsPermit means that the upstream would get the request only with a permit.
	NeedsPermit bool
}

// Rule names the rule by which an upstream is chosen.
type Rule string

// The rules.
const (
	// RuleCheapest is the lowest cost among the available upstreams that are compared.
	RuleCheapest Rule = "cheapest"
	// RuleUnconfirmed is an upstream whose answer shows whether its service is still brittle.
	RuleUnconfirmed Rule = "unconfirmed"
	// RuleLate is the lowest cost, although the objective can no longer be met.
	RuleLate Rule = "late"
	// RuleLastChoice is the lowest cost among the upstreams that get only what no other can take.
	RuleLastChoice Rule = "last_choice"
	// RuleLastResort is an ejected or unresponsive upstream, since there is no other.
	RuleLastResort Rule = "last_resort"
)

// Candidate is an upstream of the request's service as a choice sees it.
type Candidate struct {
	Instance *upstream.Instance
	// Rank is the position by cost, 1 the lowest, 0 for an upstream that cannot be chosen by cost.
	Rank int
	// LastChoice means that the upstream would get the request only if no other one can take it.
	LastChoice bool
	// Preferred means that all VMs send prompts with the same shared prefix to the engine first.
	Preferred bool
	// Cost is the cost by which upstreams are ranked: milliseconds at an engine, the share of the slots that are taken,
	// raised by slowness and failures, at a service without engines.
	Cost float64
	// Start is the expected time to the first event, Cached the number of prompt tokens that are expected to be cached.
	// Both are zero without a rank.
	Start  time.Duration
	Cached int
	// KnownLoad is the work that is known to be there.
	KnownLoad KnownLoad
	// Reasons are why the upstream cannot be chosen, is a last choice, or is not compared.
	Reasons []Reason
}

// Reason says why an upstream is not given a request, or only some.
type Reason struct {
	Cause ReasonCause
	// Left is the time until the cause ends, zero if that is not known.
	Left time.Duration
}

// ReasonCause names a reason.
type ReasonCause string

// The reasons. Only ReasonEvacuating, ReasonColdShare, ReasonPermitsScarce and ReasonNotCompared leave an upstream its rank.
const (
	ReasonRegion          ReasonCause = "region_not_allowed"
	ReasonVersion         ReasonCause = "other_version"
	ReasonDraining        ReasonCause = "draining"
	ReasonRetryLater      ReasonCause = "asked_for_no_requests"
	ReasonEvacuated       ReasonCause = "evacuated"
	ReasonEvacuating      ReasonCause = "evacuating"
	ReasonCold            ReasonCause = "cold"
	ReasonColdShare       ReasonCause = "cold_share"
	ReasonNoPermit        ReasonCause = "no_permit"
	ReasonPermitsScarce   ReasonCause = "permits_scarce"
	ReasonModelMissing    ReasonCause = "model_not_loaded"
	ReasonAdapterMissing  ReasonCause = "adapter_not_loaded"
	ReasonEjected         ReasonCause = "ejected"
	ReasonUnresponsive    ReasonCause = "unresponsive"
	ReasonFailedBefore    ReasonCause = "failed_this_request"
	ReasonBackoff         ReasonCause = "rejected_lately"
	ReasonFull            ReasonCause = "full"
	ReasonWouldStall      ReasonCause = "would_stall_streams"
	ReasonNotCompared     ReasonCause = "not_compared"
	ReasonNotChosenByCost ReasonCause = "not_chosen_by_cost"
)

// explainBatch is the number of upstreams that are explained at a time, between which requests get their turn.
const explainBatch = 128

// Explain returns what Choose would decide, and why. It changes nothing. While requests are chosen for meanwhile, the
// candidates may be of a moment later than the decision.
func (s *Assigner) Explain(req Request, now time.Time) Explanation {
	var out Explanation
	var e explanationContext
	s.reading(func() { out.Decision, out.Refused = s.explainDecision(req, now) })
	s.reading(func() { e = s.newExplanationContext(req, now) })
	for batch := range slices.Chunk(e.nodes, explainBatch) {
		s.reading(func() {
			for _, n := range batch {
				out.Candidates = append(out.Candidates, s.explainNode(n, &e, req, now))
			}
		})
	}
	rankCandidates(out.Candidates)
	return out
}

// reading calls f with the lock held, and puts back what f derives from the rate limits, and the buffer that it uses.
func (s *Assigner) reading(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.keepRateLimitSnapshot()()
	defer func(buffer []*node) { s.candidateBuffer = buffer }(s.candidateBuffer)
	s.candidateBuffer = nil
	f()
}

func (s *Assigner) explainDecision(req Request, now time.Time) (Decision, *Refused) {
	choice, err := s.choose(req, now)
	if err == nil {
		return s.decisionOf(choice, now), nil
	}
	refused, _ := err.(*Refused)
	return Decision{}, refused
}

// keepRateLimitSnapshot returns a function that restores the snapshot of the rate limits, which is made on first use, and
// what is derived from it.
func (s *Assigner) keepRateLimitSnapshot() (restore func()) {
	snapshot, brittle, since, unconfirmed := s.rateLimitSnapshot, s.brittle, s.brittleSince, s.unconfirmed
	return func() {
		s.rateLimitSnapshot, s.brittle, s.brittleSince, s.unconfirmed = snapshot, brittle, since, unconfirmed
	}
}

func (s *Assigner) decisionOf(c *Choice, now time.Time) Decision {
	return Decision{Instance: c.Instance, Rule: s.ruleOf(c, now), Expected: c.Expected, NeedsPermit: c.NeedsPermit}
}

// ruleOf returns the rule by which a choice was made that is not reserved.
func (s *Assigner) ruleOf(c *Choice, now time.Time) Rule {
	switch {
	case c.Late:
		return RuleLate
	case !c.node.responsive(now):
		return RuleLastResort
	case s.availability(c.node, c.request, now) == lastChoice:
		return RuleLastChoice
	case s.isUnconfirmed(c.node):
		return RuleUnconfirmed
	}
	return RuleCheapest
}

// explanationContext is what the explanations of the upstreams of a service share.
type explanationContext struct {
	nodes []*node
	// preferred is the preferred engine of the request, compared holds the engines that are compared.
	preferred *node
	compared  map[*node]bool
}

func (s *Assigner) newExplanationContext(req Request, now time.Time) explanationContext {
	var e explanationContext
	preferred, compared := s.comparedEngines(req, now)
	e.preferred, e.compared = preferred, make(map[*node]bool, len(compared))
	for _, n := range compared {
		e.compared[n] = true
	}
	for _, n := range s.nodes {
		if n.instance.Service == req.Service {
			e.nodes = append(e.nodes, n)
		}
	}
	return e
}

// rankCandidates puts those that can be chosen by cost first, and numbers them.
func rankCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, compareCandidates)
	for i := range candidates {
		if candidates[i].Rank > 0 {
			candidates[i].Rank = i + 1
		}
	}
}

// comparedEngines returns the preferred engine of a request, nil if it has none, and the engines that chooseAmong compares.
func (s *Assigner) comparedEngines(req Request, now time.Time) (preferred *node, compared []*node) {
	if req.Model == "" {
		return nil, nil
	}
	engines, _ := s.candidates(req, now)
	preferred = preferredEngine(engines, req)
	compared = s.sample(engines, preferred, req)
	best := s.cheapest(compared, preferred, req, s.speedOf(req.Model).prefillPerToken, now)
	if best == nil || best.start > req.StartBy.Sub(now) {
		return preferred, engines
	}
	return preferred, compared
}

// compareCandidates puts those with a rank first, and last choices behind the other ones.
func compareCandidates(x, y Candidate) int {
	return cmp.Or(-cmp.Compare(x.Rank, y.Rank), compareBool(x.LastChoice, y.LastChoice), cmp.Compare(x.Cost, y.Cost), cmp.Compare(x.Instance.ID, y.Instance.ID))
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// explainNode returns an upstream as a choice sees it. Its rank is 1 if it can be chosen by cost, else 0.
func (s *Assigner) explainNode(n *node, e *explanationContext, req Request, now time.Time) Candidate {
	c := Candidate{Instance: n.instance, KnownLoad: s.knownLoad(n, req, now), Preferred: n == e.preferred}
	c.Reasons = append(s.stateReasons(n, now), s.permitReasons(n, req, now)...)
	c.Reasons = append(c.Reasons, s.ownReasons(n, req, now)...)
	availability := s.availability(n, req, now)
	if !req.admits(n) || !n.responsive(now) || availability == unavailable || (req.Model != "" && !s.canServe(n, req, now)) {
		return c
	}
	if req.Model == "" {
		c.Rank, c.Cost, c.Start = 1, plainCost(n, s.slowdown(n, now), now, req), plainExpected
	} else {
		s.explainEngine(&c, n, e, req, now)
	}
	c.LastChoice = c.Rank > 0 && availability == lastChoice
	if c.Rank > 0 && !c.LastChoice && req.Model != "" && !e.compared[n] {
		c.Reasons = append(c.Reasons, Reason{Cause: ReasonNotCompared})
	}
	return c
}

// explainEngine completes what is known of an engine that may be given the request.
func (s *Assigner) explainEngine(c *Candidate, n *node, e *explanationContext, req Request, now time.Time) {
	perToken := s.speedOf(req.Model).prefillPerToken
	best := s.cheapest([]*node{n}, e.preferred, req, perToken, now)
	if best == nil {
		c.Reasons = append(c.Reasons, s.placeReason(n, e.preferred, req, perToken, now))
		return
	}
	c.Rank, c.Cost, c.Start, c.Cached = 1, float64(best.cost)/float64(time.Millisecond), best.start, max(0, req.PromptTokens-best.uncached)
}

// placeReason returns why an engine that may be given the request cannot take it now.
func (s *Assigner) placeReason(n, preferred *node, req Request, perToken time.Duration, now time.Time) Reason {
	uncached := s.uncached(n, req, n == preferred, now)
	switch until := n.backoffUntil[req.Model]; {
	case now.Before(until):
		return Reason{ReasonBackoff, until.Sub(now)}
	case s.full(n.total(now, perToken), req, uncached):
		return Reason{Cause: ReasonFull}
	case s.wouldStall(n, req, uncached, now):
		return Reason{Cause: ReasonWouldStall}
	}
	return Reason{Cause: ReasonNotChosenByCost}
}

// stateReasons returns why the state of an upstream keeps requests from it, in the order of stateAvailability.
func (s *Assigner) stateReasons(n *node, now time.Time) []Reason {
	var out []Reason
	i := n.instance
	if i.Draining {
		out = append(out, Reason{Cause: ReasonDraining})
	}
	if s.wantsNoRequests(n, now) {
		out = append(out, Reason{ReasonRetryLater, s.retryAt[n.key()].Sub(now)})
	}
	switch {
	case i.Evacuated() && !now.Before(i.EvacuateBy):
		out = append(out, Reason{Cause: ReasonEvacuated})
	case i.Evacuated():
		out = append(out, Reason{ReasonEvacuating, i.EvacuateBy.Sub(now)})
	case s.isCold(n, now) && s.maySendCold(n, now):
		out = append(out, Reason{ReasonColdShare, s.coldUntil(n).Sub(now)})
	case s.isCold(n, now):
		out = append(out, Reason{ReasonCold, s.coldUntil(n).Sub(now)})
	}
	return out
}

// permitReasons returns why the permits of an upstream keep requests from it.
func (s *Assigner) permitReasons(n *node, req Request, now time.Time) []Reason {
	needed, other := s.rateLimits.NextPermits(n.key())
	switch s.permitAvailability(n, req, now) {
	case unavailable:
		return []Reason{{ReasonNoPermit, max(0, needed.Sub(now))}}
	case lastChoice:
		return []Reason{{ReasonPermitsScarce, max(0, other.Sub(now))}}
	}
	return nil
}

// ownReasons returns why the request, and what this VM has seen of an upstream, keep the request from it.
func (s *Assigner) ownReasons(n *node, req Request, now time.Time) []Reason {
	var out []Reason
	add := func(applies bool, cause ReasonCause, left time.Duration) {
		if applies {
			out = append(out, Reason{cause, max(0, left)})
		}
	}
	add(req.RegionAllowed != nil && !req.RegionAllowed(n.instance.Region), ReasonRegion, 0)
	add(!req.allowsVersion(n), ReasonVersion, 0)
	add(req.Avoid[n.instance.ID], ReasonFailedBefore, 0)
	add(now.Before(n.ejectedUntil), ReasonEjected, n.ejectedUntil.Sub(now))
	add(n.unresponsive(now), ReasonUnresponsive, 0)
	holdsModel := req.Model == "" || n.holds(req.Model)
	add(!holdsModel, ReasonModelMissing, 0)
	add(holdsModel && !n.holdsItemOf(req), ReasonAdapterMissing, 0)
	return out
}
