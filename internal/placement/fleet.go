package placement

import (
	"cmp"
	"slices"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// noBase is the base index of a base model.
const noBase = -1

// itemState is one wanted item while a plan is made. Items are referred to by
// their index, so that a plan over thousands of engines hashes no strings.
type itemState struct {
	item     Item
	memory   int64
	base     int
	adapters []int
	replicas int
	// demand is the item's own; total adds that of a base model's adapters,
	// whose requests run on the same copies.
	demand float64
	total  float64
	// older says that the name serves in another version, or on another version
	// of its base model.
	older bool
	// copies lists the engines that should hold the item.
	copies []int
	// domains counts the copies in each failure domain.
	domains []int
}

// engineState is one engine while a plan is made.
type engineState struct {
	spec   *Engine
	domain int
	// free is the capacity less everything held and everything wanted.
	free int64
	// load is the demand that the wanted copies bring.
	load  float64
	wants []int
	// blocked lists items that the engine holds but that are on their way out;
	// they cannot be wanted there before they are gone.
	blocked []int
	// dormant lists adapters that the engine holds on another version of their
	// base model. They count again once the wanted version is there.
	dormant []int
	// stale lists items of which the engine holds another version.
	stale []int
}

// fleet is the working state of one plan.
type fleet struct {
	options Options
	items   []itemState
	engines []engineState
	// order visits the engines with the failure domains taking turns, so that
	// a bounded search sees all of them.
	order   []int
	cursor  int
	domains int
	// usable is the number of failure domains with an available engine.
	usable  int
	tight   bool
	held    map[assignmentKey]struct{}
	reasons map[assignmentKey]Reason
	// sequence lists new copies in the order in which they were decided.
	sequence []assignmentKey
	// quiet says that nothing has moved for long.
	quiet bool
	// uncertain says that some engine may be back in a moment.
	uncertain bool
	// reduced lists the items that gave up copies for another's first.
	reduced map[int]struct{}
}

type assignmentKey struct {
	engine, item int
}

func newFleet(in Input) *fleet {
	f := &fleet{
		options: withDefaults(in.Options, len(in.Engines)),
		held:    make(map[assignmentKey]struct{}),
		reasons: make(map[assignmentKey]Reason),
		reduced: make(map[int]struct{}),
		quiet:   in.Quiet,
	}
	byItem, byName := f.indexItems(in.Models, in.Demand)
	f.indexEngines(in.Engines)
	for i := range f.items {
		f.items[i].domains = make([]int, f.domains)
	}
	f.adopt(byItem, byName)
	f.tight = f.isTight()
	return f
}

func withDefaults(o Options, engines int) Options {
	if o.Hysteresis <= 0 {
		o.Hysteresis = DefaultHysteresis
	}
	if o.MoveCost <= 0 {
		o.MoveCost = DefaultMoveCost
	}
	if o.CopyTarget <= 0 {
		o.CopyTarget = DefaultCopyTarget
	}
	if o.MaxMoves <= 0 {
		o.MaxMoves = max(DefaultMaxMoves, engines/4)
	}
	return o
}

func (f *fleet) indexItems(models []document.Model, demand map[Name]float64) (map[Item]int, map[Name]int) {
	byItem := make(map[Item]int)
	byName := make(map[Name]int)
	add := func(s itemState) int {
		index := len(f.items)
		s.demand = demand[s.item.Name()]
		s.total = s.demand
		f.items = append(f.items, s)
		byItem[s.item] = index
		byName[s.item.Name()] = index
		return index
	}
	for _, m := range models {
		base := add(itemState{
			item:     Item{Model: m.Name, Version: m.Version},
			memory:   int64(m.Memory),
			base:     noBase,
			replicas: max(1, m.Replicas),
		})
		for _, a := range m.Adapters {
			adapter := add(itemState{
				item:     Item{Model: m.Name, Adapter: a.Name, Version: a.Version},
				memory:   int64(a.Memory),
				base:     base,
				replicas: 1,
			})
			f.items[base].adapters = append(f.items[base].adapters, adapter)
			f.items[base].total += f.items[adapter].demand
		}
	}
	return byItem, byName
}

func (f *fleet) indexEngines(engines []Engine) {
	byDomain := make(map[string]int)
	var members [][]int
	for i := range engines {
		e := &engines[i]
		domain, known := byDomain[e.FailureDomain]
		if !known {
			domain = len(members)
			byDomain[e.FailureDomain] = domain
			members = append(members, nil)
		}
		f.engines = append(f.engines, engineState{spec: e, domain: domain, free: e.Capacity})
		if e.Available {
			members[domain] = append(members[domain], i)
		}
	}
	f.domains = len(members)
	for _, m := range members {
		if len(m) > 0 {
			f.usable++
		}
	}
	f.order = interleave(members)
}

// interleave takes one of each list in turn.
func interleave(lists [][]int) []int {
	var out []int
	for position := 0; ; position++ {
		before := len(out)
		for _, list := range lists {
			if position < len(list) {
				out = append(out, list[position])
			}
		}
		if len(out) == before {
			return out
		}
	}
}

// adopt takes over what the available engines hold. Bases come first, since an
// adapter counts only where its base model stays.
func (f *fleet) adopt(byItem map[Item]int, byName map[Name]int) {
	for _, e := range f.order {
		state := &f.engines[e]
		for _, bases := range []bool{true, false} {
			for _, h := range state.spec.Holds {
				if h.Item.IsBase() == bases {
					f.adoptOne(e, h, byItem, byName)
				}
			}
		}
	}
	for e := range f.engines {
		f.engines[e].load = f.loadOf(e)
		f.uncertain = f.uncertain || f.engines[e].spec.Uncertain
	}
}

func (f *fleet) adoptOne(e int, h Held, byItem map[Item]int, byName map[Name]int) {
	state := &f.engines[e]
	state.free -= h.Memory
	index, current := byItem[h.Item]
	if !current {
		if other, named := byName[h.Item.Name()]; named {
			state.stale = append(state.stale, other)
			f.items[other].older = f.items[other].older || h.Ready
		}
		return
	}
	f.held[assignmentKey{e, index}] = struct{}{}
	base := f.items[index].base
	switch {
	case h.Leaving:
		state.blocked = append(state.blocked, index)
		return
	case base != noBase && !slices.Contains(state.wants, base):
		state.dormant = append(state.dormant, index)
		f.items[index].older = f.items[index].older || h.Ready
		return
	}
	f.reasons[assignmentKey{e, index}] = ReasonStays
	f.link(e, index)
}

// link records that an engine should hold an item.
func (f *fleet) link(e, i int) {
	f.engines[e].wants = append(f.engines[e].wants, i)
	f.items[i].copies = append(f.items[i].copies, e)
	f.items[i].domains[f.engines[e].domain]++
}

// add wants a new copy. The engine must have the room.
func (f *fleet) add(e, i int, reason Reason) {
	f.engines[e].free -= f.items[i].memory
	f.engines[e].load += f.items[i].demand / float64(len(f.items[i].copies)+1)
	f.reasons[assignmentKey{e, i}] = reason
	f.sequence = append(f.sequence, assignmentKey{e, i})
	f.link(e, i)
	f.revive(e, i)
}

// revive wants the adapters that an engine holds already for a base model that
// it is to get.
func (f *fleet) revive(e, base int) {
	state := &f.engines[e]
	var rest []int
	for _, a := range state.dormant {
		if f.items[a].base != base {
			rest = append(rest, a)
			continue
		}
		f.reasons[assignmentKey{e, a}] = ReasonStays
		f.link(e, a)
	}
	state.dormant = rest
}

// drop no longer wants a copy and counts its memory as room.
func (f *fleet) drop(e, i int) {
	item := &f.items[i]
	f.engines[e].load -= item.demand / float64(len(item.copies))
	f.engines[e].free += item.memory
	f.engines[e].wants = without(f.engines[e].wants, i)
	f.engines[e].blocked = append(f.engines[e].blocked, i)
	item.copies = without(item.copies, e)
	item.domains[f.engines[e].domain]--
	delete(f.reasons, assignmentKey{e, i})
}

// wanted says whether a copy is part of the plan.
func (f *fleet) wanted(e, i int) bool {
	_, wanted := f.reasons[assignmentKey{e, i}]
	return wanted
}

func without(list []int, value int) []int {
	at := slices.Index(list, value)
	return slices.Delete(list, at, at+1)
}

func (f *fleet) loadOf(e int) float64 {
	var load float64
	for _, i := range f.engines[e].wants {
		load += f.items[i].demand / float64(len(f.items[i].copies))
	}
	return load
}

// domainsOf counts the failure domains with a copy.
func (f *fleet) domainsOf(i int) int {
	count := 0
	for _, copies := range f.items[i].domains {
		if copies > 0 {
			count++
		}
	}
	return count
}

// groupMemory is the memory of a base model with all its adapters.
func (f *fleet) groupMemory(base int) int64 {
	memory := f.items[base].memory
	for _, a := range f.items[base].adapters {
		memory += f.items[a].memory
	}
	return memory
}

// tightShare is the share of the memory above which copies are packed closely.
// Below it they are spread, which balances the load.
const tightShare = 0.6

func (f *fleet) isTight() bool {
	var need, have int64
	for i := range f.items {
		need += f.items[i].memory
	}
	for _, e := range f.order {
		have += f.engines[e].spec.Capacity
	}
	return float64(need) > tightShare*float64(have)
}

// bases lists the base models, those with the largest groups first.
func (f *fleet) bases() []int {
	var bases []int
	for i := range f.items {
		if f.items[i].base == noBase {
			bases = append(bases, i)
		}
	}
	slices.SortStableFunc(bases, func(a, b int) int {
		return cmp.Compare(f.groupMemory(b), f.groupMemory(a))
	})
	return bases
}
