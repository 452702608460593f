package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// adapterShare is the share of a model's demand that the adapters loaded with a
// new copy should cover. A copy without the requested adapters serves only the
// base model.
const adapterShare = 0.8

// addCopiesForDemand fills free memory with the items that have the most demand
// per copy, then replaces copies that carry clearly less demand.
func (f *fleet) addCopiesForDemand() {
	unsatisfied := f.fillFreeMemory()
	f.replaceCopies(unsatisfied)
}

// fillFreeMemory adds copies in free memory. It returns the base models that
// did not fit.
func (f *fleet) fillFreeMemory() []int {
	queue := &demandQueue{fleet: f}
	for i := range f.items {
		if len(f.items[i].copies) > 0 && f.demandPerCopy(i) > f.options.CopyTarget {
			queue.items = append(queue.items, i)
		}
	}
	heap.Init(queue)
	var unsatisfied []int
	for queue.Len() > 0 && f.newCopyCount() < f.options.MaxMoves {
		i := queue.items[0]
		if f.demandPerCopy(i) <= f.options.CopyTarget {
			break
		}
		if f.addCopyForDemand(i) {
			heap.Fix(queue, 0)
			continue
		}
		heap.Pop(queue)
		if f.items[i].base == noBase {
			unsatisfied = append(unsatisfied, i)
		}
	}
	return unsatisfied
}

func (f *fleet) demandPerCopy(i int) float64 {
	return f.items[i].totalDemand / float64(len(f.items[i].copies))
}

// newCopyCount returns the number of copies that the plan has added so far.
func (f *fleet) newCopyCount() int {
	return len(f.newCopies)
}

func (f *fleet) addCopyForDemand(i int) bool {
	if f.items[i].base != noBase {
		e, ok := f.pickAdapterEngine(i, false)
		if ok {
			f.addCopy(e, i, ReasonDemand)
		}
		return ok
	}
	e, ok := f.pickEngine(i, f.items[i].memory, anyDomain)
	if ok {
		f.addWithAdapters(e, i)
	}
	return ok
}

// addWithAdapters adds a base model with the adapters that most of its demand
// is for, as far as they fit.
func (f *fleet) addWithAdapters(e, base int) {
	f.addCopy(e, base, ReasonDemand)
	adapters := slices.Clone(f.items[base].adapters)
	slices.SortStableFunc(adapters, func(a, b int) int {
		return cmp.Compare(f.items[b].demand, f.items[a].demand)
	})
	covered := f.items[base].demand
	for _, a := range adapters {
		if covered >= adapterShare*f.items[base].totalDemand || f.items[a].demand <= 0 {
			return
		}
		if f.engines[e].free >= f.items[a].memory && f.canPlace(e, a) {
			f.addCopy(e, a, ReasonDemand)
			covered += f.items[a].demand
		}
	}
}

// replaceCopies evicts copies that can be removed in favor of unsatisfied
// models, if the gain justifies the move. Demand per copy is compared as it
// will be after the exchange, so that the reverse exchange is never justified
// right afterwards.
func (f *fleet) replaceCopies(unsatisfied []int) {
	candidates := f.evictionCandidates()
	for _, i := range unsatisfied {
		for f.newCopyCount() < f.options.MaxMoves {
			gain := f.items[i].totalDemand / float64(len(f.items[i].copies)+1)
			ev, found := f.findEviction(i, gain, candidates)
			if !found {
				break
			}
			f.evict(ev)
			f.addWithAdapters(ev.engine, i)
		}
	}
}

// evictionCandidates lists the base models by the eviction cost of a copy,
// lowest first.
func (f *fleet) evictionCandidates() []int {
	list := f.baseModels()
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(f.evictionCost(a), f.evictionCost(b))
	})
	return list
}

func (f *fleet) findEviction(i int, gain float64, candidates []int) (eviction, bool) {
	for _, v := range candidates {
		if v == i || gain <= (1+f.options.Hysteresis)*f.evictionCost(v)+f.options.MoveCost {
			continue
		}
		if ev, found := f.findEvictionOf(v, i); found {
			return ev, true
		}
	}
	return eviction{}, false
}

// findEvictionOf finds the copy of base model v to evict for item i: of the
// copies that can be removed and leave enough memory for i, the one whose
// engine has the least load without it.
func (f *fleet) findEvictionOf(v, i int) (eviction, bool) {
	var best eviction
	var bestLoad float64
	found := false
	for _, e := range f.items[v].copies {
		if !f.canPlace(e, i) {
			continue
		}
		members, memory, ok := f.removableGroup(e, v, keepTwoDomains)
		if !ok || f.engines[e].free+memory < f.items[i].memory {
			continue
		}
		load := f.engines[e].load - f.items[v].totalDemand/float64(len(f.items[v].copies))
		if !found || load < bestLoad {
			best = eviction{engine: e, items: members, cost: f.evictionCost(v), keep: keepTwoDomains}
			bestLoad, found = load, true
		}
	}
	return best, found
}

// demandQueue is a heap of items, ordered by demand per copy, highest first.
type demandQueue struct {
	fleet *fleet
	items []int
}

// Len implements heap.Interface.
func (q *demandQueue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *demandQueue) Less(a, b int) bool {
	return q.fleet.demandPerCopy(q.items[a]) > q.fleet.demandPerCopy(q.items[b])
}

// Swap implements heap.Interface.
func (q *demandQueue) Swap(a, b int) { q.items[a], q.items[b] = q.items[b], q.items[a] }

// Push implements heap.Interface.
func (q *demandQueue) Push(x any) { q.items = append(q.items, x.(int)) }

// Pop implements heap.Interface.
func (q *demandQueue) Pop() any {
	last := len(q.items) - 1
	x := q.items[last]
	q.items = q.items[:last]
	return x
}
