package residency

import (
	"slices"
	"strings"
)

const (
	// stageShare is the part of the engines that shall have the weights of a model at hand
	// that may become busy.
	stageShare = 0.8
	// stageReserve is how many loads from the weight store are left for models that are
	// missing or busy now.
	stageReserve = 1
)

// stage brings models that may become busy to engines that do not have their weights at
// hand, while the weight store has loads to spare. Demand moves within seconds, and a load
// from the weight store takes as long; a model whose weights an engine has kept from an
// earlier load is there within a second, wherever there is time to spare. Only copies that
// nobody uses make way.
func (s *planState) stage() {
	for _, m := range s.leastAtHand() {
		if s.StoreLoads <= stageReserve {
			return
		}
		for _, e := range s.idlest() {
			if s.stageOn(m, e) {
				break
			}
		}
	}
}

// leastAtHand lists the models to be staged, those at hand on the fewest engines first.
func (s *planState) leastAtHand() []string {
	var out []string
	count := make(map[string]int)
	enough := int(stageShare * float64(len(s.Engines)))
	for m := range s.Spec.Models {
		if !s.Prone[m] {
			continue
		}
		for _, e := range s.Engines {
			if e.Usable && (e.Quick[m] || e.Models[m]) {
				count[m]++
			}
		}
		if count[m] < enough {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if count[a] != count[b] {
			return count[a] - count[b]
		}
		return strings.Compare(a, b)
	})
	return out
}

// stageOn brings a model to an engine if a copy there can be spared.
func (s *planState) stageOn(m string, e *Engine) bool {
	if !s.free(*e) || e.Quick[m] || e.Models[m] {
		return false
	}
	quiet := s.quiet(idleDemand)
	spare := func(e Engine, v string) bool {
		return s.ready[v] >= 2 && s.copies[v] >= 2 && e.Running[v] == 0 && e.Quick[v] && quiet(e, v)
	}
	victim, ok := s.victim(*e, m, spare)
	if !ok {
		return false
	}
	s.apply(e, ModelMove{Engine: e.ID, Load: m, Evict: victim, FromStore: true, Reason: "stage"})
	return true
}
