package placement

import (
	"cmp"
	"container/heap"
	"slices"
)

// adapterShare is the share of a model's demand that the adapters loaded with a
// new copy should cover. A copy without the adapters that callers ask for
// serves only the base model.
const adapterShare = 0.8

// followDemand uses free memory for the items with the most demand per copy,
// then replaces copies that are worth clearly less.
func (f *fleet) followDemand() {
	starved := f.fill()
	f.replace(starved)
}

// fill adds copies in free memory. It returns the base models that found none.
func (f *fleet) fill() []int {
	queue := &demandQueue{fleet: f}
	for i := range f.items {
		if len(f.items[i].copies) > 0 && f.demandPerCopy(i) > f.options.CopyTarget {
			queue.items = append(queue.items, i)
		}
	}
	heap.Init(queue)
	var starved []int
	for queue.Len() > 0 && f.demandMoves() < f.options.MaxMoves {
		i := queue.items[0]
		if f.demandPerCopy(i) <= f.options.CopyTarget {
			break
		}
		if f.addForDemand(i) {
			heap.Fix(queue, 0)
			continue
		}
		heap.Pop(queue)
		if f.items[i].base == noBase {
			starved = append(starved, i)
		}
	}
	return starved
}

func (f *fleet) demandPerCopy(i int) float64 {
	return f.items[i].total / float64(len(f.items[i].copies))
}

// demandMoves counts the copies that the plan has added so far.
func (f *fleet) demandMoves() int {
	return len(f.sequence)
}

func (f *fleet) addForDemand(i int) bool {
	if f.items[i].base != noBase {
		e, ok := f.pickAdapter(i, false)
		if ok {
			f.add(e, i, ReasonDemand)
		}
		return ok
	}
	e, ok := f.pick(i, f.items[i].memory, anywhere)
	if ok {
		f.addWithAdapters(e, i)
	}
	return ok
}

// addWithAdapters adds a base model with the adapters that most of its demand
// asks for, as far as they fit.
func (f *fleet) addWithAdapters(e, base int) {
	f.add(e, base, ReasonDemand)
	adapters := slices.Clone(f.items[base].adapters)
	slices.SortStableFunc(adapters, func(a, b int) int {
		return cmp.Compare(f.items[b].demand, f.items[a].demand)
	})
	covered := f.items[base].demand
	for _, a := range adapters {
		if covered >= adapterShare*f.items[base].total || f.items[a].demand <= 0 {
			return
		}
		if f.engines[e].free >= f.items[a].memory && f.mayHold(e, a) {
			f.add(e, a, ReasonDemand)
			covered += f.items[a].demand
		}
	}
}

// replace exchanges copies: a starved model takes the memory of a copy that is
// spare, if that is worth the move. Worth is compared as it will be after the
// exchange, so that the opposite exchange never pays right afterwards.
func (f *fleet) replace(starved []int) {
	victims := f.victims()
	for _, i := range starved {
		for f.demandMoves() < f.options.MaxMoves {
			gain := f.items[i].total / float64(len(f.items[i].copies)+1)
			ev, found := f.victimFor(i, gain, victims)
			if !found {
				break
			}
			f.evict(ev)
			f.addWithAdapters(ev.engine, i)
		}
	}
}

// victims lists the base models by what their copies are worth, least first.
func (f *fleet) victims() []int {
	list := f.bases()
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Compare(f.worth(a), f.worth(b))
	})
	return list
}

func (f *fleet) victimFor(i int, gain float64, victims []int) (eviction, bool) {
	for _, v := range victims {
		if v == i || gain <= (1+f.options.Hysteresis)*f.worth(v)+f.options.MoveCost {
			continue
		}
		if ev, found := f.victimOn(v, i); found {
			return ev, true
		}
	}
	return eviction{}, false
}

// victimOn finds the copy of v whose engine has the least load without it, among
// those that can go and leave room for item i.
func (f *fleet) victimOn(v, i int) (eviction, bool) {
	var best eviction
	var bestLoad float64
	found := false
	for _, e := range f.items[v].copies {
		if !f.mayHold(e, i) {
			continue
		}
		members, memory, ok := f.spareGroup(e, v, needTwoDomains)
		if !ok || f.engines[e].free+memory < f.items[i].memory {
			continue
		}
		load := f.engines[e].load - f.items[v].total/float64(len(f.items[v].copies))
		if !found || load < bestLoad {
			best = eviction{engine: e, items: members, worth: f.worth(v), keep: needTwoDomains}
			bestLoad, found = load, true
		}
	}
	return best, found
}

// demandQueue is a heap of items, the most demand per copy first.
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
