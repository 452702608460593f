package residency

import (
	"cmp"
	"maps"
	"slices"
)

// weighRounds is how often the requests of all models are dealt anew in turn: after a few
// rounds the loads hardly move.
const weighRounds = 3

// weigh works out the load of every engine, in engine time a second. The requests of a
// model go to those of its holders that have least to do, so its demand fills them up to a
// common level, over what other models bring there. An even split would see work on an
// engine that is busy with another model, and none on the idle one beside it.
func (s *planState) weigh() {
	s.load = make(map[string]float64, len(s.Engines))
	s.parts = make(map[string]map[string]float64, len(s.Spec.Models))
	s.level = make(map[string]float64, len(s.Spec.Models))
	holders := s.holders()
	asked := slices.Sorted(maps.Keys(holders))
	for range weighRounds {
		for _, m := range asked {
			s.deal(m, holders[m])
		}
	}
}

// holders lists the engines that hold each model that is asked for.
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

// deal gives a model's demand to its holders, in place of what it had there.
func (s *planState) deal(m string, holders []string) {
	for _, id := range holders {
		s.load[id] -= s.parts[m][id]
	}
	level := waterLevel(s.Demand[m], holders, s.load)
	parts := make(map[string]float64, len(holders))
	for _, id := range holders {
		parts[id] = max(0, level-s.load[id])
		s.load[id] += parts[id]
	}
	s.parts[m], s.level[m] = parts, level
}

// waterLevel is the load up to which demand fills the engines.
func waterLevel(demand float64, engines []string, load map[string]float64) float64 {
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(load[a], load[b]) })
	sum := demand
	level := 0.0
	for i, id := range order {
		sum += load[id]
		level = sum / float64(i+1)
		if i+1 == len(order) || level <= load[order[i+1]] {
			break
		}
	}
	return level
}
