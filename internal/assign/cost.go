package assign

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/cost"
)

// dearFactor is how many times the mean cost of its service a request costs at least if it counts as dear.
const dearFactor = 3

// minPrefixCount is the number of recent prompts with a shared prefix from which it counts as cached: about one in the time for
// which engines keep it.
const minPrefixCount = 0.2

// IgnoreCosts makes the Assigner treat requests as if they cost alike.
func (s *Assigner) IgnoreCosts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costs = nil
}

// costClass returns the class by which requests are told apart before they run.
func (req *Request) costClass() cost.Class {
	return cost.Class{Service: req.Service, Route: req.Route, Team: req.Team, Size: cost.SizeClass(req.BodyBytes)}
}

// plainCostOf returns the expected time of a request in a slot of a service without engines.
func (s *Assigner) plainCostOf(req *Request) time.Duration {
	if s.costs == nil {
		return plainExpected
	}
	ms, known := s.costs.Mean(req.costClass())
	if !known {
		return plainExpected
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// isDear reports whether a request to a service without engines costs far more than the mean of its service.
func (s *Assigner) isDear(req *Request) bool {
	return s.plainCostOf(req) >= dearFactor*s.plainCostOf(&Request{Service: req.Service})
}

// recordPlainCost records how long a request took at a service without engines. What it waited for a slot there and how slow the
// upstream was at the time is left out, as far as it is known.
func (s *Assigner) recordPlainCost(c *Choice, now time.Time) {
	if s.costs == nil || c.took == 0 || c.request.Model != "" {
		return
	}
	ms := c.took.Seconds() * 1000 / s.slowdown(c.node, now)
	if slots := max(1, c.node.instance.Slots); c.KnownLoad.Requests >= slots {
		ms /= 1 + float64(c.KnownLoad.Requests+1-slots)/float64(slots)
	}
	s.reportEstimate(c.request.Service, s.plainCostOf(&c.request), time.Duration(ms*float64(time.Millisecond)))
	s.costs.Record(c.request.costClass(), ms, now)
}

// engineCostOf returns the expected engine time of a request: the prefill of what is not likely to be cached, and its share of the
// steps for as many tokens as requests of its route and team have generated of those that they announced.
func (s *Assigner) engineCostOf(req *Request) time.Duration {
	if s.costs == nil || !s.reporting[req.Service] {
		return s.work(s.spec(req.Service), req.Model, req.PromptTokens, req.OutputTokens)
	}
	prompt := req.PromptTokens
	if len(req.Prefixes) >= 2 {
		shared := req.Prefixes[len(req.Prefixes)-2]
		if s.prefixRates[shared.Hash].countAt(s.placedAt) >= minPrefixCount {
			prompt -= int(preferredCacheShare * float64(shared.Tokens))
		}
	}
	output := float64(req.OutputTokens)
	if share, known := s.outputs.Mean(req.outputClass()); known {
		// work applies the share of the model's requests.
		output *= share / s.speedOf(req.Model).outputShare
	}
	return s.work(s.spec(req.Service), req.Model, max(0, prompt), int(output))
}

// outputClass returns the class by which it is known how many of the announced tokens requests generate.
func (req *Request) outputClass() cost.Class {
	return cost.Class{Service: req.Service, Route: req.Route, Team: req.Team, Model: req.Model}
}

// recordOutput records how many of the announced tokens a request has generated.
func (s *Assigner) recordOutput(req *Request, tokens int, now time.Time) {
	if s.costs != nil && req.OutputTokens > 0 {
		s.outputs.Record(req.outputClass(), float64(tokens)/float64(req.OutputTokens), now)
	}
}

func (s *Assigner) reportEstimate(service string, expected, observed time.Duration) {
	if s.onEstimate != nil {
		s.onEstimate(service, expected, observed)
	}
}
