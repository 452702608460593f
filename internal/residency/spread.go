package residency

import (
	"cmp"
	"slices"
)

// spreadBusy adds copies of the models whose engines have the most to do, always the one
// next whose engines are fullest: loads from the weight store are few. Where nothing can
// make way on an engine with time to spare, room is made there for the next plan.
func (s *planState) spreadBusy() {
	done := make(map[string]bool)
	for {
		m := s.busiestModel(done)
		if m == "" {
			return
		}
		level := s.level[m]
		ok := s.bring(m, "busy", func(e Engine) float64 {
			return s.load[e.ID] - worthMoving*level
		}, s.quiet(victimShare*s.certainShare(m)))
		if !ok {
			s.makeRoom(m)
		}
		done[m] = !ok
	}
}

// busiestModel returns the model whose engines are fullest, of those that are not done and
// whose copies carry enough.
func (s *planState) busiestModel(done map[string]bool) string {
	best := ""
	for m := range s.Spec.Models {
		if done[m] || s.copies[m] == 0 || s.certainShare(m) <= leastShare || s.level[m] <= leastLevel {
			continue
		}
		if best == "" || s.level[m] > s.level[best] || (s.level[m] == s.level[best] && m < best) {
			best = m
		}
	}
	return best
}

// makeRoom gives the only copy of a rarely used model a second home. The engine that is
// idlest often is so because it holds nothing but models that few ask for, each the last
// copy, and none of them can make way for a busy one.
func (s *planState) makeRoom(m string) {
	for _, e := range s.idlest() {
		if s.load[e.ID] > worthMoving*s.level[m] {
			return
		}
		if !s.free(*e) || e.Models[m] {
			continue
		}
		if rare := s.rarest(*e); rare != "" && s.bring(rare, "apart", s.besides(*e), s.but(m)) {
			return
		}
	}
}

// idlest lists the engines, those with the least load first.
func (s *planState) idlest() []*Engine {
	if s.byLoad != nil {
		return s.byLoad
	}
	s.byLoad = make([]*Engine, len(s.Engines))
	for i := range s.Engines {
		s.byLoad[i] = &s.Engines[i]
	}
	slices.SortStableFunc(s.byLoad, func(a, b *Engine) int { return cmp.Compare(s.load[a.ID], s.load[b.ID]) })
	return s.byLoad
}

// rarest is the model of which an engine has the last copy and that is asked for least, ""
// if there is none or another copy is on its way.
func (s *planState) rarest(e Engine) string {
	best := ""
	for m := range e.Models {
		if s.copies[m] != 1 || s.waiting[m] {
			continue
		}
		if best == "" || s.Demand[m] < s.Demand[best] || (s.Demand[m] == s.Demand[best] && m < best) {
			best = m
		}
	}
	return best
}

// besides admits engines other than one that are not yet full of last copies themselves.
func (s *planState) besides(except Engine) func(Engine) float64 {
	last := s.lastCopies()
	return func(e Engine) float64 {
		if e.ID == except.ID || last[e.ID] >= last[except.ID]-1 {
			return 1
		}
		return 0
	}
}

// lastCopies counts by engine the models of which it has the only copy.
func (s *planState) lastCopies() map[string]int {
	if s.last != nil {
		return s.last
	}
	s.last = make(map[string]int, len(s.Engines))
	for _, e := range s.Engines {
		for m := range e.Models {
			if s.copies[m] == 1 {
				s.last[e.ID]++
			}
		}
	}
	return s.last
}

// but lets models make way that few use, other than one.
func (s *planState) but(m string) victims {
	quiet := s.quiet(leastShare)
	return func(e Engine, v string) bool { return v != m && quiet(e, v) }
}

// fillFree uses free memory for further copies: demand for a model comes within
// seconds, and a crash takes whatever has one copy only. What an engine has at hand
// costs nothing but an order.
func (s *planState) fillFree() {
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.free(*e) {
			continue
		}
		if m := s.thinnest(*e, func(m string) bool { return e.Quick[m] }); m != "" {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, Reason: "fill"})
			continue
		}
	}
}

// spreadAhead makes further copies of models with adapters while there is no demand for
// loads: each adapter has callers of its own, so these models are the ones that become
// busy. Models without adapters that nobody asks for make way.
func (s *planState) spreadAhead() {
	quiet := s.quiet(idleDemand)
	plain := func(e Engine, v string) bool { return s.Spec.Models[v].Adapters == 0 && quiet(e, v) }
	for i := range s.Engines {
		e := &s.Engines[i]
		if !s.free(*e) {
			continue
		}
		m := s.thinnestOf(func(m string) bool {
			return s.Spec.Models[m].Adapters > 0 && s.copies[m] < s.aheadCopies() && !e.Models[m] &&
				(e.Quick[m] || s.StoreLoads > 0)
		})
		if m == "" {
			continue
		}
		victim, ok := s.victim(*e, m, plain)
		if ok && (victim == "" || e.Quick[m]) {
			s.apply(e, ModelMove{Engine: e.ID, Load: m, Evict: victim, FromStore: !e.Quick[m], Reason: "ahead"})
		}
	}
}

// aheadCopies is how many copies of a model with adapters are made ahead of demand:
// on a quarter of the engines, so that a model that becomes busy has somewhere to run
// in the seconds that loads take.
func (s *planState) aheadCopies() int { return max(2, len(s.Engines)/aheadShare) }

// aheadShare is the divisor of the engines that get copies ahead of demand.
const aheadShare = 4

// thinnest returns the model with the fewest copies that fits into the free memory.
func (s *planState) thinnest(e Engine, wanted func(string) bool) string {
	return s.thinnestOf(func(m string) bool { return !e.Models[m] && wanted(m) && s.fitsModel(e, m, "") })
}

// thinnestOf returns the model with the fewest copies, "" if none is wanted.
func (s *planState) thinnestOf(wanted func(string) bool) string {
	best := ""
	for m := range s.Spec.Models {
		if !wanted(m) {
			continue
		}
		if best == "" || s.copies[m] < s.copies[best] || (s.copies[m] == s.copies[best] && m < best) {
			best = m
		}
	}
	return best
}
