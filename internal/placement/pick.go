package placement

import (
	"cmp"
	"slices"
)

// searchWidth bounds how many engines with room are compared for one copy. At
// today's sizes that is all of them.
const searchWidth = 256

// Penalties order the candidates: a failure domain without a copy comes before
// an engine without another version, and that before balance.
const (
	sameDomainPenalty = 1e15
	stalePenalty      = 1e14
)

// anywhere lets pick choose any failure domain.
const anywhere = -1

// pick finds the engine for a new copy of item i that has room for need bytes,
// in a failure domain without a copy of item apart unless that is anywhere.
func (f *fleet) pick(i int, need int64, apart int) (int, bool) {
	best, bestScore := -1, 0.0
	seen := 0
	for k := range f.order {
		at := f.cursor + k
		if at >= len(f.order) {
			at -= len(f.order)
		}
		e := f.order[at]
		if f.engines[e].free < need || !f.mayHold(e, i) {
			continue
		}
		if apart != anywhere && f.items[apart].domains[f.engines[e].domain] > 0 {
			continue
		}
		score := f.score(e, i)
		if best < 0 || score < bestScore {
			best, bestScore = e, score
		}
		seen++
		if seen == searchWidth {
			f.cursor = at
			break
		}
	}
	return best, best >= 0
}

// mayHold says whether item i can be added on engine e: it is not there, is not
// on its way out there and, for an adapter, has its base model there.
func (f *fleet) mayHold(e, i int) bool {
	state := &f.engines[e]
	base := f.items[i].base
	if base != noBase && !slices.Contains(state.wants, base) {
		return false
	}
	return !slices.Contains(state.wants, i) && !slices.Contains(state.blocked, i)
}

func (f *fleet) score(e, i int) float64 {
	state := &f.engines[e]
	score := 0.0
	if f.items[i].domains[state.domain] > 0 {
		score += sameDomainPenalty
	}
	if slices.Contains(state.stale, i) {
		score += stalePenalty
	}
	if f.tight {
		return score + float64(state.free)
	}
	// The load counts first; the free share breaks ties among idle engines.
	return score + state.load*1e3 - float64(state.free)/float64(max(1, state.spec.Capacity))
}

// pickAdapter finds the engine for a new copy of an adapter among those that
// should hold its base model.
func (f *fleet) pickAdapter(i int, newDomain bool) (int, bool) {
	best, bestScore := -1, 0.0
	for _, e := range f.items[f.items[i].base].copies {
		if f.engines[e].free < f.items[i].memory || !f.mayHold(e, i) {
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

// need says how much of an item must remain when copies of it are given up.
type need int

const (
	// needOneCopy lets another item's first copy take a second one.
	needOneCopy need = iota
	// needTwoDomains keeps what the document and the failure domains ask for.
	needTwoDomains
)

// spare says whether the copy of item i on engine e can be given up.
func (f *fleet) spare(e, i int, keep need) bool {
	item := &f.items[i]
	left := len(item.copies) - 1
	if left < 1 {
		return false
	}
	if keep == needOneCopy {
		return true
	}
	domains := f.domainsOf(i)
	if item.domains[f.engines[e].domain] == 1 {
		domains--
	}
	return left >= item.replicas && domains >= min(2, f.usable)
}

// group lists a base model on an engine with its adapters there.
func (f *fleet) group(e, base int) []int {
	members := []int{base}
	for _, i := range f.engines[e].wants {
		if f.items[i].base == base {
			members = append(members, i)
		}
	}
	return members
}

// spareGroup returns the base model with its adapters on e if all can be given
// up, and the memory that this frees.
func (f *fleet) spareGroup(e, base int, keep need) ([]int, int64, bool) {
	if !f.spare(e, base, keep) {
		return nil, 0, false
	}
	members := f.group(e, base)
	var memory int64
	for _, i := range members {
		if !f.spare(e, i, keep) {
			return nil, 0, false
		}
		memory += f.items[i].memory
	}
	return members, memory, true
}

// eviction is a set of copies on one engine that make room together.
type eviction struct {
	engine int
	items  []int
	worth  float64
	keep   need
}

// evictFor finds the least valuable copies whose memory makes room for need
// bytes on an engine that may hold item i. Only engines accepted by ok count.
func (f *fleet) evictFor(i int, needed int64, keep need, ok func(e int) bool) (eviction, bool) {
	var best eviction
	found := false
	for _, e := range f.order {
		if !f.mayHold(e, i) || !ok(e) {
			continue
		}
		candidate, possible := f.evictOn(e, i, needed, keep)
		if possible && (!found || candidate.worth < best.worth) {
			best, found = candidate, true
		}
	}
	return best, found
}

func (f *fleet) evictOn(e, i int, needed int64, keep need) (eviction, bool) {
	out := eviction{engine: e, keep: keep}
	room := f.engines[e].free
	for _, unit := range f.spareUnits(e, i, keep) {
		if room >= needed {
			break
		}
		out.items = append(out.items, unit.items...)
		out.worth += unit.worth
		room += unit.memory
	}
	return out, room >= needed
}

// unit is what can be given up at once: a base model with its adapters, or one
// adapter alone.
type unit struct {
	items  []int
	memory int64
	worth  float64
}

// spareUnits lists what engine e could give up for item i, least valuable
// first. Adapters go alone only where their base model has to stay.
func (f *fleet) spareUnits(e, i int, keep need) []unit {
	var units []unit
	ownBase := f.items[i].base
	for _, candidate := range f.engines[e].wants {
		base := f.items[candidate].base
		if base == noBase && candidate != ownBase {
			if members, memory, ok := f.spareGroup(e, candidate, keep); ok {
				units = append(units, unit{members, memory, f.worth(candidate)})
			}
			continue
		}
		if base == noBase || !f.spare(e, candidate, keep) {
			continue
		}
		if _, _, whole := f.spareGroup(e, base, keep); !whole || base == ownBase {
			units = append(units, unit{[]int{candidate}, f.items[candidate].memory, f.worth(candidate)})
		}
	}
	slices.SortStableFunc(units, func(a, b unit) int { return cmp.Compare(a.worth, b.worth) })
	return units
}

// worth is the demand that each remaining copy would carry if one were given up.
func (f *fleet) worth(i int) float64 {
	return f.items[i].total / float64(max(1, len(f.items[i].copies)-1))
}

func (f *fleet) evict(ev eviction) {
	for _, i := range ev.items {
		f.drop(ev.engine, i)
		if ev.keep == needOneCopy {
			f.reduced[i] = struct{}{}
		}
	}
}
