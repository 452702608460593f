package residency

import (
	"cmp"
	"maps"
	"slices"
)

// balanceRounds is how many times the demand of all models is redistributed in turn. After a few
// rounds the loads hardly change.
const balanceRounds = 3

// balance is how the demand spreads over the engines.
//
// Requests for a model go to the least loaded of its holders, so its demand fills them up to a common
// load on top of the load of other models. An even split would assign load to an engine that is
// busy with another model, and too little to an idle holder.
type balance struct {
	// engine is the engine time requested of each engine per second, by the engine's index.
	engine []float64
	// model is the part of it that each model contributes to its holders.
	model map[string]map[int]float64
	// balanced is the load up to which a model's demand fills its holders, by model.
	balanced map[string]float64
}

func (b *balance) ofEngine(e Engine) float64 { return b.engine[e.index] }

func (b *balance) ofModel(m string, e Engine) float64 { return b.model[m][e.index] }

// loads returns the balance of the present copies. It is computed when it is asked for: a plan for
// thousands of engines makes hundreds of moves that do not depend on it.
func (s *planState) loads() *balance {
	if s.balance == nil {
		s.balance = s.newBalance()
	}
	return s.balance
}

func (s *planState) newBalance() *balance {
	b := &balance{
		engine: make([]float64, len(s.Engines)), model: make(map[string]map[int]float64, len(s.Spec.Models)),
		balanced: make(map[string]float64, len(s.Spec.Models)),
	}
	for i, e := range s.Engines {
		b.engine[i] = e.Occupied
	}
	holders := s.holders()
	models := slices.Sorted(maps.Keys(holders))
	for range balanceRounds {
		for _, m := range models {
			b.distribute(m, s.Demand[m], holders[m])
		}
	}
	return b
}

// holders returns the indices of the usable engines that hold each model with demand, by model.
func (s *planState) holders() map[string][]int {
	out := make(map[string][]int)
	for i, e := range s.Engines {
		if !e.Usable {
			continue
		}
		for m := range e.Models {
			if s.Demand[m] > 0 {
				out[m] = append(out[m], i)
			}
		}
	}
	return out
}

// distribute replaces a model's previous load on its holders by its balanced demand.
func (b *balance) distribute(m string, demand float64, holders []int) {
	before := b.model[m]
	for _, i := range holders {
		b.engine[i] -= before[i]
	}
	balanced := b.fill(demand, holders)
	added := make(map[int]float64, len(holders))
	for _, i := range holders {
		part := max(0, balanced-b.engine[i])
		b.engine[i] += part
		added[i] = part
	}
	b.model[m], b.balanced[m] = added, balanced
}

// fill returns the load up to which demand fills the engines, least loaded first.
func (b *balance) fill(demand float64, engines []int) float64 {
	order := slices.Clone(engines)
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(b.engine[x], b.engine[y]) })
	sum := demand
	balanced := 0.0
	for i, index := range order {
		sum += b.engine[index]
		balanced = sum / float64(i+1)
		if i+1 == len(order) || balanced <= b.engine[order[i+1]] {
			break
		}
	}
	return balanced
}
