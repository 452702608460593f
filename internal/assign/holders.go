package assign

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// prefixRateTime is the time constant of the rate of prompts with a shared prefix.
	prefixRateTime = 10 * time.Second
	// maxPrefixRates bounds the shared prefixes whose rate is known.
	maxPrefixRates = 4096
	// holderBusyShare is the part of an engine's time that prompts with one shared prefix may take before a further engine keeps it.
	holderBusyShare = 0.4
	// holderDraws is how many of the engines that keep a prefix are compared for a request.
	holderDraws = 2
)

// prefixRate is the number of recent prompts of this VM with a shared prefix, with exponentially falling weights.
type prefixRate struct {
	count float64
	at    time.Time
}

func (r prefixRate) countAt(now time.Time) float64 {
	return r.count * math.Exp(-max(0, now.Sub(r.at)).Seconds()/prefixRateTime.Seconds())
}

// recordPrefixRate counts a prompt that is sent to an engine.
func (s *Assigner) recordPrefixRate(req *Request, now time.Time) {
	if len(req.Prefixes) < 2 || s.costs == nil || !s.reporting[req.Service] {
		return
	}
	if len(s.prefixRates) >= maxPrefixRates {
		clear(s.prefixRates)
	}
	shared := req.Prefixes[len(req.Prefixes)-2].Hash
	put(&s.prefixRates, shared, prefixRate{count: s.prefixRates[shared].countAt(now) + 1, at: now})
}

// holders returns the engines that keep the shared prefix of a prompt, the preferred one first. All VMs send such prompts to these
// engines, in the order of rendezvous hashing: as many as it takes to prefill the prompts of all VMs, so that they do not queue at
// one engine while the others prefill the prefix for a few of them each. It returns nil if one engine is enough.
func (s *Assigner) holders(candidates []*node, req *Request, perToken time.Duration, now time.Time) []*node {
	if len(req.Prefixes) < 2 || len(candidates) < 2 || !s.knowsLittle(req.Service) || s.differInSpeed(candidates, now) {
		return nil
	}
	prefix := req.Prefixes[len(req.Prefixes)-2]
	perSecond := s.prefixRates[prefix.Hash].countAt(now) / prefixRateTime.Seconds() * float64(len(s.others)+1)
	own := time.Duration(max(0, req.PromptTokens-prefix.Tokens))*perToken + minFirstEventTime
	count := int(math.Ceil(perSecond * own.Seconds() / holderBusyShare))
	if count < 2 {
		return nil
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(x, y *node) int {
		return cmp.Compare(y.rendezvousWeight(prefix.Hash), x.rendezvousWeight(prefix.Hash))
	})
	return ordered[:min(count, len(ordered))]
}

// differInSpeed reports whether some of the engines are known to be slow or fast. A request then goes by its start at all of them,
// since a kept prefix saves less than a fast engine.
func (s *Assigner) differInSpeed(engines []*node, now time.Time) bool {
	return slices.ContainsFunc(engines, func(n *node) bool { return s.slowdown(n, now) != 1 })
}

// cheapestHolder returns the estimate with the lowest cost among a few of the engines that keep a prompt's shared prefix, drawn by
// the request's hash. It returns nil if one engine is enough for such prompts, or none of those drawn can take the request.
func (s *Assigner) cheapestHolder(candidates []*node, req Request, perToken time.Duration, now time.Time) *estimate {
	holders := s.holders(candidates, &req, perToken, now)
	if holders == nil {
		return nil
	}
	requestHash := req.Prefixes[len(req.Prefixes)-1].Hash
	slices.SortFunc(holders, func(x, y *node) int {
		return cmp.Compare(x.rendezvousWeight(requestHash), y.rendezvousWeight(requestHash))
	})
	var best *estimate
	for _, n := range holders[:min(holderDraws, len(holders))] {
		if e := s.cheapest([]*node{n}, n, req, perToken, now); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}
