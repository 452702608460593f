package residency

// spreadBusy adds copies of the models whose holders have the most to do, always the
// one next whose copies carry most: loads from the weight store are few.
func (s *planState) spreadBusy() {
	done := make(map[string]bool)
	for {
		m := s.busiestModel(done)
		if m == "" {
			return
		}
		gain := s.certainShare(m)
		busiest := s.busiestHolder(m)
		added := s.Demand[m] / float64(s.copies[m]+1)
		ok := s.bring(m, "busy", func(e Engine) float64 {
			return s.load[e.ID] + added - worthMoving*busiest
		}, s.quiet(victimShare*gain))
		done[m] = !ok
	}
}

// busiestModel returns the model whose copies carry most, of those that are not done
// and carry enough.
func (s *planState) busiestModel(done map[string]bool) string {
	best := ""
	for m := range s.Spec.Models {
		if done[m] || s.certainShare(m) <= leastShare {
			continue
		}
		if best == "" || s.certainShare(m) > s.certainShare(best) || (s.certainShare(m) == s.certainShare(best) && m < best) {
			best = m
		}
	}
	return best
}

func (s *planState) busiestHolder(m string) float64 {
	most := 0.0
	for _, e := range s.Engines {
		if e.Usable && e.Models[m] {
			most = max(most, s.load[e.ID])
		}
	}
	return most
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
