package placement

import (
	"cmp"
	"slices"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// noBase is the value of itemState.base for a base model.
const noBase = -1

// itemState is the state of one item of the document while a plan is made.
// Items are referred to by index, so that a plan over thousands of engines
// hashes no strings.
type itemState struct {
	item     Item
	memory   int64
	base     int
	adapters []int
	replicas int
	// demand is the item's own demand. totalDemand adds that of a base model's
	// adapters, whose requests run on the same copies.
	demand      float64
	totalDemand float64
	// servesOtherVersion means that the name serves in another version, or on
	// another version of its base model.
	servesOtherVersion bool
	// copies lists the engines that the plan assigns the item to.
	copies []int
	// domains is the number of copies in each failure domain.
	domains []int
}

// engineState is the state of one engine while a plan is made.
type engineState struct {
	spec   *Engine
	domain int
	// free is the capacity minus the memory of all held and all planned items.
	free int64
	// load is the demand on the planned copies.
	load    float64
	planned []int
	// blocked lists items that the engine holds but that are being unloaded or
	// are dropped by this plan. They cannot be planned there before they are
	// gone.
	blocked []int
	// inactiveAdapters lists adapters that the engine holds while this version
	// of their base model is not planned there. They count again once it is.
	inactiveAdapters []int
	// otherVersions lists items of which the engine holds another version.
	otherVersions []int
}

// fleet is the working state of one plan.
type fleet struct {
	options Options
	items   []itemState
	engines []engineState
	// visitOrder lists the available engines, alternating between failure
	// domains, so that a bounded search covers all domains.
	visitOrder  []int
	cursor      int
	domainCount int
	// availableDomains is the number of failure domains with an available
	// engine.
	availableDomains  int
	memoryConstrained bool
	held              map[assignmentKey]struct{}
	reasons           map[assignmentKey]Reason
	// newCopies lists the copies that the plan adds, in the order of the
	// decisions.
	newCopies []assignmentKey
	// stable means that nothing has moved for some time.
	stable bool
	// uncertain means that some engine may become available shortly.
	uncertain bool
	// reduced is the set of items that gave up copies for another item's first
	// copy.
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
		stable:  in.Stable,
	}
	byItem, byName := f.indexItems(in.Models, in.Demand)
	f.indexEngines(in.Engines)
	for i := range f.items {
		f.items[i].domains = make([]int, f.domainCount)
	}
	f.assignHeldItems(byItem, byName)
	f.memoryConstrained = f.isMemoryConstrained()
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
		s.totalDemand = s.demand
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
			f.items[base].totalDemand += f.items[adapter].demand
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
	f.domainCount = len(members)
	for _, m := range members {
		if len(m) > 0 {
			f.availableDomains++
		}
	}
	f.visitOrder = interleave(members)
}

// interleave merges the lists by taking one element of each in turn.
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

// assignHeldItems plans what the available engines hold already. Base models
// come first, since an adapter counts only where its base model stays.
func (f *fleet) assignHeldItems(byItem map[Item]int, byName map[Name]int) {
	for _, e := range f.visitOrder {
		state := &f.engines[e]
		for _, bases := range []bool{true, false} {
			for _, h := range state.spec.HeldItems {
				if h.Item.IsBase() == bases {
					f.assignHeldItem(e, h, byItem, byName)
				}
			}
		}
	}
	for e := range f.engines {
		f.engines[e].load = f.engineLoad(e)
		f.uncertain = f.uncertain || f.engines[e].spec.Uncertain
	}
}

func (f *fleet) assignHeldItem(e int, h HeldItem, byItem map[Item]int, byName map[Name]int) {
	state := &f.engines[e]
	state.free -= h.Memory
	index, current := byItem[h.Item]
	if !current {
		if currentIndex, named := byName[h.Item.Name()]; named {
			state.otherVersions = append(state.otherVersions, currentIndex)
			f.items[currentIndex].servesOtherVersion = f.items[currentIndex].servesOtherVersion || h.Ready
		}
		return
	}
	f.held[assignmentKey{e, index}] = struct{}{}
	base := f.items[index].base
	switch {
	case h.Unloading:
		state.blocked = append(state.blocked, index)
		return
	case base != noBase && !slices.Contains(state.planned, base):
		state.inactiveAdapters = append(state.inactiveAdapters, index)
		f.items[index].servesOtherVersion = f.items[index].servesOtherVersion || h.Ready
		return
	}
	f.reasons[assignmentKey{e, index}] = ReasonStays
	f.assign(e, index)
}

// assign records that the plan assigns an item to an engine.
func (f *fleet) assign(e, i int) {
	f.engines[e].planned = append(f.engines[e].planned, i)
	f.items[i].copies = append(f.items[i].copies, e)
	f.items[i].domains[f.engines[e].domain]++
}

// addCopy adds a new copy to the plan. The engine must have enough free memory.
func (f *fleet) addCopy(e, i int, reason Reason) {
	f.engines[e].free -= f.items[i].memory
	f.engines[e].load += f.items[i].demand / float64(len(f.items[i].copies)+1)
	f.reasons[assignmentKey{e, i}] = reason
	f.newCopies = append(f.newCopies, assignmentKey{e, i})
	f.assign(e, i)
	f.reactivateAdapters(e, i)
}

// reactivateAdapters plans the adapters that an engine already holds for a base
// model that is added to it.
func (f *fleet) reactivateAdapters(e, base int) {
	state := &f.engines[e]
	var rest []int
	for _, a := range state.inactiveAdapters {
		if f.items[a].base != base {
			rest = append(rest, a)
			continue
		}
		f.reasons[assignmentKey{e, a}] = ReasonStays
		f.assign(e, a)
	}
	state.inactiveAdapters = rest
}

// dropCopy removes a copy from the plan and counts its memory as free.
func (f *fleet) dropCopy(e, i int) {
	item := &f.items[i]
	f.engines[e].load -= item.demand / float64(len(item.copies))
	f.engines[e].free += item.memory
	f.engines[e].planned = removeValue(f.engines[e].planned, i)
	f.engines[e].blocked = append(f.engines[e].blocked, i)
	item.copies = removeValue(item.copies, e)
	item.domains[f.engines[e].domain]--
	delete(f.reasons, assignmentKey{e, i})
}

// isPlanned reports whether a copy is part of the plan.
func (f *fleet) isPlanned(e, i int) bool {
	_, planned := f.reasons[assignmentKey{e, i}]
	return planned
}

func removeValue(list []int, value int) []int {
	at := slices.Index(list, value)
	return slices.Delete(list, at, at+1)
}

func (f *fleet) engineLoad(e int) float64 {
	var load float64
	for _, i := range f.engines[e].planned {
		load += f.items[i].demand / float64(len(f.items[i].copies))
	}
	return load
}

// countDomains returns the number of failure domains with a copy of the item.
func (f *fleet) countDomains(i int) int {
	count := 0
	for _, copies := range f.items[i].domains {
		if copies > 0 {
			count++
		}
	}
	return count
}

// groupMemory returns the memory of a base model with all its adapters.
func (f *fleet) groupMemory(base int) int64 {
	memory := f.items[base].memory
	for _, a := range f.items[base].adapters {
		memory += f.items[a].memory
	}
	return memory
}

// packingThreshold is the share of the memory that one copy of everything must
// need for copies to be packed closely. Below it they are spread, which
// balances the load.
const packingThreshold = 0.6

func (f *fleet) isMemoryConstrained() bool {
	var need, have int64
	for i := range f.items {
		need += f.items[i].memory
	}
	for _, e := range f.visitOrder {
		have += f.engines[e].spec.Capacity
	}
	return float64(need) > packingThreshold*float64(have)
}

// baseModels lists the base models, those with the largest groups first.
func (f *fleet) baseModels() []int {
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
