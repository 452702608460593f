package residency

import (
	"cmp"
	"maps"
	"slices"
)

// balanceRounds is how many times the demand of all models is redistributed in turn. After a few
// rounds the loads hardly change.
const balanceRounds = 3

// balanceLoad computes the load of every engine, in engine time per second. Requests for a
// model go to the least loaded of its holders, so its demand fills them up to a common load
// on top of the load of other models. An even split would assign load to an engine that is
// busy with another model, and too little to an idle holder.
func (s *planState) balanceLoad() {
	s.engineLoad = make(map[string]float64, len(s.Engines))
	s.modelLoad = make(map[string]map[string]float64, len(s.Spec.Models))
	s.balancedLoad = make(map[string]float64, len(s.Spec.Models))
	for _, e := range s.Engines {
		s.engineLoad[e.ID] = e.Occupied
	}
	holders := s.holders()
	models := slices.Sorted(maps.Keys(holders))
	for range balanceRounds {
		for _, m := range models {
			s.distributeDemand(m, holders[m])
		}
	}
}

// holders returns the usable engines that hold each model with demand, by model.
func (s *planState) holders() map[string][]string {
	out := make(map[string][]string)
	for _, e := range s.Engines {
		if !e.Usable {
			continue
		}
		for m := range e.Models {
			if s.Demand[m] > 0 {
				out[m] = append(out[m], e.ID)
			}
		}
	}
	return out
}

// distributeDemand replaces a model's previous load on its holders by its balanced demand.
func (s *planState) distributeDemand(m string, holders []string) {
	for _, id := range holders {
		s.engineLoad[id] -= s.modelLoad[m][id]
	}
	balanced := balancedLoad(s.Demand[m], holders, s.engineLoad)
	added := make(map[string]float64, len(holders))
	for _, id := range holders {
		added[id] = max(0, balanced-s.engineLoad[id])
		s.engineLoad[id] += added[id]
	}
	s.modelLoad[m], s.balancedLoad[m] = added, balanced
}

// balancedLoad returns the load up to which demand fills the engines, least loaded first.
func balancedLoad(demand float64, engines []string, load map[string]float64) float64 {
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
	sum := demand
	balanced := 0.0
	for i, id := range order {
		sum += load[id]
		balanced = sum / float64(i+1)
		if i+1 == len(order) || balanced <= load[order[i+1]] {
			break
		}
	}
	return balanced
}
