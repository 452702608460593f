package placement

import (
	"cmp"
	"slices"
)

// searchWidth bounds how many engines with enough free memory are compared for
// one copy. Fleets of up to that many engines are searched in full.
const searchWidth = 256

// Score penalties rank the candidates: avoiding a failure domain that already
// has a copy matters most, then avoiding an engine that holds another version,
// then balance.
const (
	sameDomainPenalty   = 1e15
	otherVersionPenalty = 1e14
)

// anyDomain lets pickEngine choose any failure domain.
const anyDomain = -1

// pickEngine returns the engine for a new copy of item i that has need bytes
// free. Unless excludeDomainsOf is anyDomain, failure domains that already have
// a copy of the item excludeDomainsOf are left out.
func (f *fleet) pickEngine(i int, need int64, excludeDomainsOf int) (int, bool) {
	best, bestScore := -1, 0.0
	seen := 0
	for k := range f.visitOrder {
		position := f.cursor + k
		if position >= len(f.visitOrder) {
			position -= len(f.visitOrder)
		}
		e := f.visitOrder[position]
		if f.engines[e].free < need || !f.canPlace(e, i) {
			continue
		}
		if excludeDomainsOf != anyDomain && f.items[excludeDomainsOf].domains[f.engines[e].domain] > 0 {
			continue
		}
		score := f.score(e, i)
		if best < 0 || score < bestScore {
			best, bestScore = e, score
		}
		seen++
		if seen == searchWidth {
			f.cursor = position
			break
		}
	}
	return best, best >= 0
}

// canPlace reports whether item i can be added on engine e: it is not planned
// there, it is not being removed there and, for an adapter, its base model is
// planned there.
func (f *fleet) canPlace(e, i int) bool {
	state := &f.engines[e]
	base := f.items[i].base
	if base != noBase && !slices.Contains(state.planned, base) {
		return false
	}
	return !slices.Contains(state.planned, i) && !slices.Contains(state.blocked, i)
}

func (f *fleet) score(e, i int) float64 {
	state := &f.engines[e]
	score := 0.0
	if f.items[i].domains[state.domain] > 0 {
		score += sameDomainPenalty
	}
	if slices.Contains(state.otherVersions, i) {
		score += otherVersionPenalty
	}
	if f.memoryConstrained {
		return score + float64(state.free)
	}
	// Engines are ranked by load; the free share breaks ties among idle
	// engines.
	return score + state.load*1e3 - float64(state.free)/float64(max(1, state.spec.Capacity))
}

// pickAdapterEngine returns the engine for a new copy of an adapter among those
// that its base model is planned on.
func (f *fleet) pickAdapterEngine(i int, newDomain bool) (int, bool) {
	best, bestScore := -1, 0.0
	for _, e := range f.items[f.items[i].base].copies {
		if f.engines[e].free < f.items[i].memory || !f.canPlace(e, i) {
			continue
		}
		if newDomain && f.items[i].domains[f.engines[e].domain] > 0 {
			continue
		}
		score := f.score(e, i)
		if best < 0 || score < bestScore {
			best, bestScore = e, score
		}
	}
	return best, best >= 0
}

// retention is how much of an item must remain when copies of it are removed.
type retention int

const (
	// keepOneCopy keeps one copy, so that another item's first copy can replace
	// a second one.
	keepOneCopy retention = iota
	// keepTwoDomains keeps the replicas that the document requires and copies
	// in two failure domains.
	keepTwoDomains
)

// canRemove reports whether the copy of item i on engine e can be removed.
func (f *fleet) canRemove(e, i int, keep retention) bool {
	item := &f.items[i]
	left := len(item.copies) - 1
	if left < 1 {
		return false
	}
	if keep == keepOneCopy {
		return true
	}
	domains := f.countDomains(i)
	if item.domains[f.engines[e].domain] == 1 {
		domains--
	}
	return left >= item.replicas && domains >= min(2, f.availableDomains)
}

// baseWithAdapters lists a base model on an engine with its adapters there.
func (f *fleet) baseWithAdapters(e, base int) []int {
	members := []int{base}
	for _, i := range f.engines[e].planned {
		if f.items[i].base == base {
			members = append(members, i)
		}
	}
	return members
}

// removableGroup returns the base model with its adapters on e if all of them
// can be removed, and the memory that this frees.
func (f *fleet) removableGroup(e, base int, keep retention) ([]int, int64, bool) {
	if !f.canRemove(e, base, keep) {
		return nil, 0, false
	}
	members := f.baseWithAdapters(e, base)
	var memory int64
	for _, i := range members {
		if !f.canRemove(e, i, keep) {
			return nil, 0, false
		}
		memory += f.items[i].memory
	}
	return members, memory, true
}

// eviction is a set of copies on one engine that are removed together to free
// memory.
type eviction struct {
	engine int
	items  []int
	cost   float64
	keep   retention
}

// cheapestEviction finds the eviction with the lowest cost that frees needed
// bytes on an engine where item i can be placed. Only engines accepted by ok
// are considered.
func (f *fleet) cheapestEviction(i int, needed int64, keep retention, ok func(e int) bool) (eviction, bool) {
	var best eviction
	found := false
	for _, e := range f.visitOrder {
		if !f.canPlace(e, i) || !ok(e) {
			continue
		}
		candidate, possible := f.evictionOn(e, i, needed, keep)
		if possible && (!found || candidate.cost < best.cost) {
			best, found = candidate, true
		}
	}
	return best, found
}

func (f *fleet) evictionOn(e, i int, needed int64, keep retention) (eviction, bool) {
	out := eviction{engine: e, keep: keep}
	room := f.engines[e].free
	for _, unit := range f.removableUnits(e, i, keep) {
		if room >= needed {
			break
		}
		out.items = append(out.items, unit.items...)
		out.cost += unit.cost
		room += unit.memory
	}
	return out, room >= needed
}

// evictionUnit is what can be evicted at once: a base model with its adapters,
// or a single adapter.
type evictionUnit struct {
	items  []int
	memory int64
	cost   float64
}

// removableUnits lists what engine e could evict for item i, lowest cost first.
// Adapters are evicted alone only where their base model has to stay.
func (f *fleet) removableUnits(e, i int, keep retention) []evictionUnit {
	var units []evictionUnit
	ownBase := f.items[i].base
	for _, candidate := range f.engines[e].planned {
		base := f.items[candidate].base
		if base == noBase && candidate != ownBase {
			if members, memory, ok := f.removableGroup(e, candidate, keep); ok {
				units = append(units, evictionUnit{members, memory, f.evictionCost(candidate)})
			}
			continue
		}
		if base == noBase || !f.canRemove(e, candidate, keep) {
			continue
		}
		if _, _, whole := f.removableGroup(e, base, keep); !whole || base == ownBase {
			units = append(units, evictionUnit{[]int{candidate}, f.items[candidate].memory, f.evictionCost(candidate)})
		}
	}
	slices.SortStableFunc(units, func(a, b evictionUnit) int { return cmp.Compare(a.cost, b.cost) })
	return units
}

// evictionCost is the demand that each remaining copy would carry if one copy
// were removed.
func (f *fleet) evictionCost(i int) float64 {
	return f.items[i].totalDemand / float64(max(1, len(f.items[i].copies)-1))
}

func (f *fleet) evict(ev eviction) {
	for _, i := range ev.items {
		f.dropCopy(ev.engine, i)
		if ev.keep == keepOneCopy {
			f.reduced[i] = struct{}{}
		}
	}
}
