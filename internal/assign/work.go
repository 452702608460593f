package assign

import (
	"maps"
	"slices"
	"time"
)

// SetOthers takes another VM's report of its work by instance.
func (s *Assigner) SetOthers(vm string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.nodes {
		l, ok := loads[id]
		if ok {
			n.hearReading(vm, l.ReadTotal, now)
		}
		if !ok && n.others[vm].meanWith(l.PrefillTokens, now) < leastMean {
			delete(n.others, vm)
			continue
		}
		n.hear(vm, l, now)
	}
}

// hear takes another VM's work.
func (n *node) hear(vm string, l Load, now time.Time) {
	n.others[vm] = reported{
		load: load{requests: l.Requests, prefill: l.PrefillTokens, kv: l.KVTokens}, running: l.Running,
		mean: n.others[vm].meanWith(l.PrefillTokens, now), at: now,
	}
}

// ownLoad is this VM's work.
func (n *node) ownLoad() Load {
	return Load{
		Requests: n.own.requests, PrefillTokens: n.own.prefill, KVTokens: n.own.kv, ReadTotal: n.readTotal, Running: maps.Clone(n.running),
	}
}

// Load is work in flight at an instance.
type Load struct {
	Requests, PrefillTokens, KVTokens int
	// ReadTotal is the engine time for reading prompts that one VM has given to the instance
	// since it started.
	ReadTotal time.Duration
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
		KVTokens: l.KVTokens + sign*other.KVTokens, ReadTotal: l.ReadTotal + time.Duration(sign)*other.ReadTotal,
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

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool {
	return l.Requests == 0 && l.PrefillTokens == 0 && l.KVTokens == 0 && l.ReadTotal == 0 && len(l.Running) == 0
}

// Loads returns this VM's work by instance.
func (s *Assigner) Loads() map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load)
	for id, n := range s.nodes {
		if n.own.requests > 0 {
			out[id] = n.ownLoad()
		}
	}
	return out
}

// LoadsOf returns this VM's work at some instances.
func (s *Assigner) LoadsOf(instances []string) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(instances))
	for _, id := range instances {
		if n := s.nodes[id]; n != nil {
			out[id] = n.ownLoad()
		}
	}
	return out
}

// HearSent takes another VM's work at the engines that it has just sent something.
func (s *Assigner) HearSent(vm string, loads map[string]Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range loads {
		if n := s.nodes[id]; n != nil {
			n.hearReading(vm, l.ReadTotal, now)
			n.hear(vm, l, now)
		}
	}
}

// Totals returns the work of all VMs at the instances that take work.
func (s *Assigner) Totals(now time.Time) map[string]Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Load, len(s.nodes))
	for id, n := range s.nodes {
		if n.ready(now) {
			t := n.total(now, defaultRead)
			out[id] = Load{Requests: t.requests, PrefillTokens: t.prefill, KVTokens: t.kv, Running: n.totalRunning(now)}
		}
	}
	return out
}

// place books the work.
func (s *Assigner) place(n *node, a Ask, uncached int, expected time.Duration, now time.Time) *Choice {
	c := &Choice{Instance: n.instance.ID, Uncached: uncached, Expected: expected, Beside: s.beside(n, a, now), node: n, ask: a, at: now}
	c.kv = uncached + a.OutputTokens/2
	read := time.Duration(uncached) * s.paceOf(a.Model).read
	n.noteReading(read, now)
	n.readTotal += read
	if s.placed != nil && a.Model != "" {
		s.placed(n.instance.ID)
	}
	n.own.requests++
	n.own.prefill += uncached
	n.own.kv += c.kv
	n.running[a.Model]++
	n.waiting[c] = struct{}{}
	if a.Adapter != "" {
		s.inUse[itemName(a.Model, a.Adapter)]++
	}
	return c
}

// beside is what is known of the work at an instance.
func (s *Assigner) beside(n *node, a Ask, now time.Time) Beside {
	total := n.total(now, s.paceOf(a.Model).read)
	b := Beside{Requests: total.requests, Others: total.requests - n.own.requests, PrefillTokens: total.prefill}
	for _, r := range n.others {
		if age := now.Sub(r.at); age <= reportLifetime {
			b.ReportAge = max(b.ReportAge, age)
		}
	}
	return b
}

// Started notes a choice's first event, or the answer of a plain service.
func (s *Assigner) Started(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.started || c.done {
		return
	}
	c.started = true
	n := c.node
	n.heard = now
	delete(n.waiting, c)
	n.own.prefill -= c.Uncached
	if c.ask.Model == "" {
		return
	}
	s.signal()
	n.remember(c.ask, now)
	s.learn(n, c, now.Sub(c.at))
}

// Heard notes a sign of life of the choice's instance.
func (s *Assigner) Heard(c *Choice, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.node.heard = now
}

// Lives reports whether an instance gave a sign of life lately, by any request of this VM.
func (s *Assigner) Lives(instance string, within time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[instance]
	return n != nil && now.Sub(n.heard) < within
}

// learn compares the time to the first event with what was expected.
func (s *Assigner) learn(n *node, c *Choice, took time.Duration) {
	ratio := float64(took) / float64(max(c.Expected, stepTime))
	n.slow = slowMemory*n.slow + (1-slowMemory)*min(max(ratio*n.slow, 0.5), slowMost)
	n.slow = max(n.slow, 0.7)
	if c.Uncached < measureFrom || len(n.waiting) > 0 {
		return
	}
	p := s.paces[c.ask.Model]
	p.learnRead((took-stepTime)/time.Duration(c.Uncached), s.paceOf(c.ask.Model).read)
	s.paces[c.ask.Model] = p
}

// Outcome is how an exchange ended for the upstream.
type Outcome int

// The outcomes. Neutral tells nothing about the upstream, as when the caller left.
const (
	Succeeded Outcome = iota
	Failed
	Neutral
)

// Finish gives a place back.
func (s *Assigner) Finish(c *Choice, o Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	n := c.node
	delete(n.waiting, c)
	if !c.started {
		n.own.prefill -= c.Uncached
	}
	n.own.requests--
	n.own.kv -= c.kv
	if n.running[c.ask.Model]--; n.running[c.ask.Model] <= 0 {
		delete(n.running, c.ask.Model)
	}
	s.release(c.ask)
	s.signal()
	switch o {
	case Succeeded:
		n.succeeded(now)
	case Failed:
		if n.failed(now) && s.believe != nil {
			s.believe(n.instance.ID, n.failures, n.ejectedUntil)
		}
	}
}

// release counts an adapter's request as ended.
func (s *Assigner) release(a Ask) {
	if a.Adapter == "" {
		return
	}
	item := itemName(a.Model, a.Adapter)
	if s.inUse[item]--; s.inUse[item] <= 0 {
		delete(s.inUse, item)
	}
}

// InUse names the adapters that requests in flight use, "model/adapter".
func (s *Assigner) InUse() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.inUse))
}
