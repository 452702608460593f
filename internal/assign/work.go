package assign

import (
	"maps"
	"slices"
	"time"
)

// SetPeerLoads applies another VM's report of its work by instance. An instance that is
// missing from it has no work of that VM.
func (s *Assigner) SetPeerLoads(vm string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.peerWork[vm] {
		if _, ok := loads[id]; !ok {
			s.endPeerWork(vm, id, now)
		}
	}
	s.updatePeerLoads(vm, loads, now)
}

// UpdatePeerLoads applies another VM's work at the engines to which it has just sent requests. Its
// work at other instances stays as it was.
func (s *Assigner) UpdatePeerLoads(vm string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updatePeerLoads(vm, loads, now)
}

func (s *Assigner) updatePeerLoads(vm string, loads map[string]Load, now time.Time) {
	for id, l := range loads {
		if n := s.nodes[id]; n != nil {
			n.recordPeerPrefill(vm, l.PrefillTotal, now)
			s.setPeerLoad(vm, n, l, now)
		}
	}
}

// endPeerWork records that another VM has no more work at an instance. Its mean prefill backlog
// there is kept until it is negligible.
func (s *Assigner) endPeerWork(vm, instance string, now time.Time) {
	n := s.nodes[instance]
	if n != nil && n.peers[vm].updatedMean(0, now) >= minMeanPrefill {
		s.setPeerLoad(vm, n, Load{}, now)
		return
	}
	if n != nil {
		delete(n.peers, vm)
	}
	delete(s.peerWork[vm], instance)
	if len(s.peerWork[vm]) == 0 {
		delete(s.peerWork, vm)
	}
}

// setPeerLoad replaces another VM's work at an instance.
func (s *Assigner) setPeerLoad(vm string, n *node, l Load, now time.Time) {
	put(&n.peers, vm, peerLoad{
		load: load{requests: l.Requests, prefillTokens: l.PrefillTokens, kvTokens: l.KVTokens}, running: l.Running,
		meanPrefill: n.peers[vm].updatedMean(l.PrefillTokens, now), receivedAt: now,
	})
	if s.peerWork[vm] == nil {
		s.peerWork[vm] = make(map[string]struct{})
	}
	s.peerWork[vm][n.instance.ID] = struct{}{}
}

// localLoad returns this VM's work at the instance.
func (n *node) localLoad() Load {
	return Load{
		Requests: n.local.requests - n.awaitingPermits, PrefillTokens: n.local.prefillTokens, KVTokens: n.local.kvTokens, PrefillTotal: n.prefillTotal, Running: maps.Clone(n.running),
	}
}

// Load is work in flight at an instance.
type Load struct {
	Requests, PrefillTokens, KVTokens int
	// PrefillTotal is the engine time for prefill that one VM has given to the instance since
	// the VM started.
	PrefillTotal time.Duration
	// Running counts the requests by model.
	Running map[string]int
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load { return l.combine(other, 1) }

// Sub returns the difference of two loads.
func (l Load) Sub(other Load) Load { return l.combine(other, -1) }

func (l Load) combine(other Load, sign int) Load {
	out := Load{
		Requests: l.Requests + sign*other.Requests, PrefillTokens: l.PrefillTokens + sign*other.PrefillTokens,
		KVTokens: l.KVTokens + sign*other.KVTokens, PrefillTotal: l.PrefillTotal + time.Duration(sign)*other.PrefillTotal,
		Running: make(map[string]int, len(l.Running)+len(other.Running)),
	}
	maps.Copy(out.Running, l.Running)
	for model, n := range other.Running {
		if out.Running[model] += sign * n; out.Running[model] == 0 {
			delete(out.Running, model)
		}
	}
	return out
}

// IsZero reports whether all fields are zero.
func (l Load) IsZero() bool {
	return l.Requests == 0 && l.PrefillTokens == 0 && l.KVTokens == 0 && l.PrefillTotal == 0 && len(l.Running) == 0
}

// Loads returns this VM's work by instance, for the instances that have any.
func (s *Assigner) Loads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(s.ownWork))
	for id := range s.ownWork {
		if n := s.nodes[id]; n != nil && n.local.requests > 0 {
			out[id] = n.localLoad()
		} else {
			delete(s.ownWork, id)
		}
	}
	return out
}

// LoadsOf returns this VM's work at the given instances.
func (s *Assigner) LoadsOf(instances []string) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(instances))
	for _, id := range instances {
		if n := s.nodes[id]; n != nil {
			out[id] = n.localLoad()
		}
	}
	return out
}

// Totals returns the work of all VMs at those of the given instances that accept requests, now or
// once they are warm.
func (s *Assigner) Totals(instances []string, now time.Time) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(instances))
	for _, id := range instances {
		n := s.nodes[id]
		if n != nil && !n.instance.Draining && !n.instance.Evacuated() && n.responsive(now) {
			t := n.total(now, defaultPrefillPerToken)
			out[id] = Load{Requests: t.requests, PrefillTokens: t.prefillTokens, KVTokens: t.kvTokens, Running: n.totalRunning(now)}
		}
	}
	return out
}

// newChoice returns the choice of an instance, which reserves nothing yet.
func (s *Assigner) newChoice(n *node, req Request, uncached int, expected time.Duration, now time.Time) *Choice {
	c := &Choice{Instance: n.instance.ID, Version: n.instance.SoftwareVersion, Uncached: uncached, Expected: expected, KnownLoad: s.knownLoad(n, req, now), node: n, request: req, placedAt: now}
	c.kvTokens = uncached + req.OutputTokens/2
	c.Key, c.NeedsPermit, c.Brittle = n.key(), s.needsPermit(n), s.isBrittle(n)
	c.LastChoice = c.NeedsPermit && s.availability(n, req, now) == lastChoice
	return c
}

// reserve reserves a place at the instance of a choice and adds the request to its work.
func (s *Assigner) reserve(c *Choice, now time.Time) {
	n, req := c.node, &c.request
	if c.NeedsPermit {
		c.awaitsPermit = true
		n.awaitingPermits++
	} else {
		s.recordPlaced(c, now)
	}
	s.ownWork[n.instance.ID] = struct{}{}
	n.local.requests++
	n.local.prefillTokens += c.Uncached
	n.local.kvTokens += c.kvTokens
	put(&n.running, req.Model, n.running[req.Model]+1)
	put(&n.unanswered, c, struct{}{})
	s.placedAt = now
	s.recordPrefixRate(req, now)
	if s.isCold(n, now) {
		n.sentColdAt = now
	}
	if req.Adapter != "" {
		s.inUse[itemName(req.Model, req.Adapter)]++
	}
}

// recordPlaced adds a choice that will be sent to the prefill work of its instance.
func (s *Assigner) recordPlaced(c *Choice, now time.Time) {
	n := c.node
	prefill := time.Duration(c.Uncached) * s.speedOf(c.request.Model).prefillPerToken
	n.recordPrefill(prefill, now)
	n.prefillTotal += prefill
	s.recordOwnDispatch(c, now)
	if s.onPlace != nil && c.request.Model != "" {
		s.onPlace(n.instance.ID)
	}
}

// knownLoad returns the work that is known to be at an instance.
func (s *Assigner) knownLoad(n *node, req Request, now time.Time) KnownLoad {
	total := n.total(now, s.speedOf(req.Model).prefillPerToken)
	known := KnownLoad{Requests: total.requests, PeerRequests: total.requests - n.local.requests, PrefillTokens: total.prefillTokens}
	for _, r := range n.peers {
		if age := now.Sub(r.receivedAt); age <= reportLifetime {
			known.ReportAge = max(known.ReportAge, age)
		}
	}
	return known
}

// Started records the first event of a choice, or the answer of a service without engines.
func (s *Assigner) Started(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.started || c.released {
		return
	}
	c.started = true
	n := c.node
	n.lastActivity = now
	delete(n.unanswered, c)
	n.local.prefillTokens -= c.Uncached
	if c.request.Model == "" {
		c.took = now.Sub(c.placedAt)
		return
	}
	s.signalFreed()
	n.recordPrefixes(c.request, now)
	s.recordFirstEvent(n, c, now.Sub(c.placedAt))
}

// RecordActivity records that the choice's instance has sent something.
func (s *Assigner) RecordActivity(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.node.lastActivity = now
}

// RecentlyActive reports whether the instance has sent anything for any request of this VM within
// the given time before now.
func (s *Assigner) RecentlyActive(instance string, within time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[instance]
	return n != nil && now.Sub(n.lastActivity) < within
}

// recordFirstEvent updates the instance's slowness from the time to the first event compared
// with the expected one, and the model's prefill speed.
func (s *Assigner) recordFirstEvent(n *node, c *Choice, elapsed time.Duration) {
	s.reportEstimate(c.request.Service, c.Expected, elapsed)
	ratio := float64(elapsed) / float64(max(c.Expected, minFirstEventTime))
	n.slowness = slownessSmoothing*n.slowness + (1-slownessSmoothing)*min(max(ratio*n.slowness, 0.5), maxSlowness)
	n.slowness = max(n.slowness, 0.7)
	if c.Uncached < minPrefillSample || len(n.unanswered) > 0 {
		return
	}
	p := s.speeds[c.request.Model]
	p.updatePrefill((elapsed-minFirstEventTime)/time.Duration(c.Uncached), s.speedOf(c.request.Model).prefillPerToken)
	s.speeds[c.request.Model] = p
}

// Outcome is how an exchange ended, as far as the upstream is concerned.
type Outcome int

// The outcomes. Neutral says nothing about the upstream, as when the caller disconnected.
const (
	Succeeded Outcome = iota
	Failed
	Neutral
)

// Finish releases the place of a choice and records the outcome. Further calls with the
// same choice have no effect.
func (s *Assigner) Finish(c *Choice, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	s.release(c)
	n := c.node
	switch o {
	case Succeeded:
		n.recordSuccess(now)
		s.recordPlainCost(c, now)
	case Failed:
		if n.recordFailure(now) && s.onEjection != nil {
			s.onEjection(n.instance.ID, n.failures, n.ejectedUntil)
		}
	}
}

// Release releases the place of a choice whose outcome is not known yet. Finish still records the outcome.
func (s *Assigner) Release(c *Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(c)
}

// release must be called with the lock held.
func (s *Assigner) release(c *Choice) {
	if c.released {
		return
	}
	c.released = true
	n := c.node
	c.endPermitWait()
	delete(n.unanswered, c)
	if !c.started {
		n.local.prefillTokens -= c.Uncached
	}
	n.local.requests--
	n.local.kvTokens -= c.kvTokens
	if n.running[c.request.Model]--; n.running[c.request.Model] <= 0 {
		delete(n.running, c.request.Model)
	}
	s.releaseAdapter(c.request)
	s.signalFreed()
}

// endPermitWait counts a choice as one whose permit was granted, or denied. It must be called with the lock held.
func (c *Choice) endPermitWait() {
	if c.awaitsPermit {
		c.awaitsPermit = false
		c.node.awaitingPermits--
	}
}

// releaseAdapter counts a request that uses an adapter as ended.
func (s *Assigner) releaseAdapter(req Request) {
	if req.Adapter == "" {
		return
	}
	item := itemName(req.Model, req.Adapter)
	if s.inUse[item]--; s.inUse[item] <= 0 {
		delete(s.inUse, item)
	}
}

// InUse returns the adapters that requests in flight use, as "model/adapter".
func (s *Assigner) InUse() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.inUse))
}
