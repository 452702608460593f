package placement

import "slices"

// NewPlan computes what every engine should hold. The same input gives the same
// plan.
func NewPlan(in Input) Plan {
	f := newFleet(in)
	f.placeFirstCopies()
	f.placeSecondDomains()
	f.placeReplicas()
	f.addCopiesForDemand()
	return f.buildPlan()
}

// placeFirstCopies adds a copy of every item that has none.
func (f *fleet) placeFirstCopies() {
	for _, b := range f.baseModels() {
		if len(f.items[b].copies) == 0 {
			f.placeFirstBase(b)
		}
		for _, a := range f.items[b].adapters {
			if len(f.items[a].copies) == 0 {
				f.placeFirstAdapter(a)
			}
		}
	}
}

// placeFirstBase places a base model, on an engine where its adapters fit too
// if there is one.
func (f *fleet) placeFirstBase(b int) {
	e, ok := f.pickEngine(b, f.groupMemory(b), anyDomain)
	if !ok {
		e, ok = f.pickEngine(b, f.items[b].memory, anyDomain)
	}
	if ok {
		f.addCopy(e, b, ReasonFirstCopy)
		return
	}
	for _, memory := range []int64{f.groupMemory(b), f.items[b].memory} {
		if ev, found := f.cheapestEviction(b, memory, f.retentionFor(b), anyEngine); found {
			f.evict(ev)
			f.addCopy(ev.engine, b, ReasonFirstCopy)
			return
		}
	}
	f.relocateFor(b)
}

func anyEngine(int) bool { return true }

// retentionFor returns how much other items must retain when they make room for
// an item's first copy. While an engine may become available shortly, no item
// gives up its second failure domain: a few lost reports together with the loss
// of a domain would leave that item without a copy. Nor does any item give it
// up for a new version while the old version serves, unless the fleet is
// stable.
func (f *fleet) retentionFor(i int) retention {
	if f.uncertain || (f.items[i].servesOtherVersion && !f.stable) {
		return keepTwoDomains
	}
	return keepOneCopy
}

func (f *fleet) placeFirstAdapter(a int) {
	if e, ok := f.pickAdapterEngine(a, false); ok {
		f.addCopy(e, a, ReasonFirstCopy)
		return
	}
	memory := f.items[a].memory
	if ev, found := f.cheapestEviction(a, memory, f.retentionFor(a), anyEngine); found {
		f.evict(ev)
		f.addCopy(ev.engine, a, ReasonFirstCopy)
		return
	}
	base := f.items[a].base
	if len(f.items[base].copies) == 0 {
		return
	}
	if e, ok := f.pickEngine(base, f.items[base].memory+memory, anyDomain); ok {
		f.addBaseAndAdapter(e, base, a, ReasonFirstCopy)
	}
}

// relocateFor makes room for an item that fits nowhere and for which nothing
// can be removed: it copies what occupies the memory to another engine. Once
// that copy is ready, a later plan can remove the old one.
func (f *fleet) relocateFor(i int) {
	for _, e := range f.visitOrder {
		if !f.canPlace(e, i) {
			continue
		}
		for _, b := range f.engines[e].planned {
			if f.items[b].base != noBase {
				continue
			}
			members := f.baseWithAdapters(e, b)
			if f.engines[e].free+f.totalMemory(members) < f.items[i].memory {
				continue
			}
			if f.copyGroup(members) {
				return
			}
		}
	}
}

func (f *fleet) totalMemory(items []int) int64 {
	var memory int64
	for _, i := range items {
		memory += f.items[i].memory
	}
	return memory
}

func (f *fleet) copyGroup(members []int) bool {
	target, ok := f.pickEngine(members[0], f.totalMemory(members), anyDomain)
	if !ok {
		return false
	}
	for _, i := range members {
		if !f.isPlanned(target, i) {
			f.addCopy(target, i, ReasonRelocation)
		}
	}
	return true
}

// placeSecondDomains adds a copy in another failure domain for every item whose
// copies are in one domain only, using free memory and copies beyond what their
// items must retain.
func (f *fleet) placeSecondDomains() {
	if f.availableDomains < 2 {
		return
	}
	for _, b := range f.baseModels() {
		f.placeBaseInSecondDomain(b)
		for _, a := range f.items[b].adapters {
			f.placeAdapterInSecondDomain(a)
		}
	}
}

func (f *fleet) placeBaseInSecondDomain(b int) {
	if len(f.items[b].copies) == 0 || f.countDomains(b) >= 2 {
		return
	}
	e, ok := f.pickEngine(b, f.groupMemory(b), b)
	if !ok {
		e, ok = f.pickEngine(b, f.items[b].memory, b)
	}
	if ok {
		f.addCopy(e, b, ReasonSecondDomain)
		return
	}
	f.evictInNewDomain(b)
}

func (f *fleet) placeAdapterInSecondDomain(a int) {
	if len(f.items[a].copies) == 0 || f.countDomains(a) >= 2 {
		return
	}
	if e, ok := f.pickAdapterEngine(a, true); ok {
		f.addCopy(e, a, ReasonSecondDomain)
		return
	}
	if f.evictInNewDomain(a) {
		return
	}
	base := f.items[a].base
	if e, ok := f.pickEngineForPair(base, a); ok {
		f.addBaseAndAdapter(e, base, a, ReasonSecondDomain)
	}
}

func (f *fleet) addBaseAndAdapter(e, base, a int, reason Reason) {
	f.addCopy(e, base, reason)
	if !f.isPlanned(e, a) {
		f.addCopy(e, a, reason)
	}
}

// pickEngineForPair finds an engine for a further copy of a base model that
// lets its adapter be placed in another failure domain.
func (f *fleet) pickEngineForPair(base, a int) (int, bool) {
	e, ok := f.pickEngine(base, f.items[base].memory+f.items[a].memory, a)
	if !ok || slices.Contains(f.engines[e].blocked, a) {
		return -1, false
	}
	return e, true
}

func (f *fleet) evictInNewDomain(i int) bool {
	newDomain := func(e int) bool { return f.items[i].domains[f.engines[e].domain] == 0 }
	ev, found := f.cheapestEviction(i, f.items[i].memory, keepTwoDomains, newDomain)
	if !found {
		return false
	}
	f.evict(ev)
	f.addCopy(ev.engine, i, ReasonSecondDomain)
	return true
}

// placeReplicas adds copies up to the number of replicas in the document, where
// memory allows it.
func (f *fleet) placeReplicas() {
	for _, b := range f.baseModels() {
		for len(f.items[b].copies) > 0 && len(f.items[b].copies) < f.items[b].replicas {
			e, ok := f.pickEngine(b, f.items[b].memory, anyDomain)
			if !ok {
				break
			}
			f.addCopy(e, b, ReasonReplicas)
		}
	}
}

func (f *fleet) buildPlan() Plan {
	var p Plan
	for _, key := range f.newCopies {
		if _, planned := f.reasons[key]; planned {
			p.Assignments = append(p.Assignments, f.assignment(key))
			if _, held := f.held[key]; !held {
				p.Moves++
			}
		}
	}
	slices.SortStableFunc(p.Assignments, func(a, b Assignment) int {
		return urgency(a.Reason) - urgency(b.Reason)
	})
	for _, e := range f.visitOrder {
		for _, i := range f.engines[e].planned {
			key := assignmentKey{e, i}
			if f.reasons[key] == ReasonStays {
				p.Assignments = append(p.Assignments, f.assignment(key))
			}
		}
	}
	for i := range f.items {
		if _, reduced := f.reduced[i]; reduced {
			p.Reduced = append(p.Reduced, f.items[i].item.Name())
		}
		switch f.countDomains(i) {
		case 0:
			p.Unplaced = append(p.Unplaced, f.items[i].item.Name())
		case 1:
			p.OneDomain = append(p.OneDomain, f.items[i].item.Name())
		}
	}
	return p
}

func (f *fleet) assignment(key assignmentKey) Assignment {
	item := &f.items[key.item]
	return Assignment{
		Engine: f.engines[key.engine].spec.Name,
		Item:   item.item,
		Memory: item.memory,
		Reason: f.reasons[key],
	}
}

// urgency ranks the reasons; the most urgent has the lowest value.
func urgency(r Reason) int {
	order := []Reason{ReasonFirstCopy, ReasonRelocation, ReasonSecondDomain, ReasonReplicas, ReasonDemand, ReasonStays}
	return slices.Index(order, r)
}
