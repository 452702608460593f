package placement

import "slices"

// Make plans what every engine should hold. The same input gives the same plan.
func Make(in Input) Plan {
	f := newFleet(in)
	f.firstCopies()
	f.secondDomains()
	f.replicas()
	f.followDemand()
	return f.plan()
}

// firstCopies gives every item without a copy one.
func (f *fleet) firstCopies() {
	for _, b := range f.bases() {
		if len(f.items[b].copies) == 0 {
			f.firstBase(b)
		}
		for _, a := range f.items[b].adapters {
			if len(f.items[a].copies) == 0 {
				f.firstAdapter(a)
			}
		}
	}
}

// firstBase places a base model, where its adapters fit too if that is possible.
func (f *fleet) firstBase(b int) {
	e, ok := f.pick(b, f.groupMemory(b), anywhere)
	if !ok {
		e, ok = f.pick(b, f.items[b].memory, anywhere)
	}
	if ok {
		f.add(e, b, ReasonFirstCopy)
		return
	}
	for _, memory := range []int64{f.groupMemory(b), f.items[b].memory} {
		if ev, found := f.evictFor(b, memory, f.sacrifice(b), anyEngine); found {
			f.evict(ev)
			f.add(ev.engine, b, ReasonFirstCopy)
			return
		}
	}
	f.relocateFor(b)
}

func anyEngine(int) bool { return true }

// sacrifice says what other items give up for an item's first copy. While an
// engine may be back in a moment, nobody gives up a second failure domain: a few
// lost reports and the loss of a domain together would else leave the giver
// without a copy. Nor does anybody for a new version while the old one serves,
// unless nothing has moved for long.
func (f *fleet) sacrifice(i int) need {
	if f.uncertain || (f.items[i].older && !f.quiet) {
		return needTwoDomains
	}
	return needOneCopy
}

func (f *fleet) firstAdapter(a int) {
	if e, ok := f.pickAdapter(a, false); ok {
		f.add(e, a, ReasonFirstCopy)
		return
	}
	memory := f.items[a].memory
	if ev, found := f.evictFor(a, memory, f.sacrifice(a), anyEngine); found {
		f.evict(ev)
		f.add(ev.engine, a, ReasonFirstCopy)
		return
	}
	base := f.items[a].base
	if len(f.items[base].copies) == 0 {
		return
	}
	if e, ok := f.pick(base, f.items[base].memory+memory, anywhere); ok {
		f.addPair(e, base, a, ReasonFirstCopy)
	}
}

// relocateFor makes room for an item that fits nowhere, although nothing can be
// given up, by a copy of what is in the way on an engine with room. A later
// plan, when that copy is ready, finds the old one spare and gives it up.
func (f *fleet) relocateFor(i int) {
	for _, e := range f.order {
		if !f.mayHold(e, i) {
			continue
		}
		for _, b := range f.engines[e].wants {
			if f.items[b].base != noBase {
				continue
			}
			members := f.group(e, b)
			if f.engines[e].free+f.memoryOf(members) < f.items[i].memory {
				continue
			}
			if f.copyGroup(members) {
				return
			}
		}
	}
}

func (f *fleet) memoryOf(items []int) int64 {
	var memory int64
	for _, i := range items {
		memory += f.items[i].memory
	}
	return memory
}

func (f *fleet) copyGroup(members []int) bool {
	target, ok := f.pick(members[0], f.memoryOf(members), anywhere)
	if !ok {
		return false
	}
	for _, i := range members {
		if !f.wanted(target, i) {
			f.add(target, i, ReasonRelocation)
		}
	}
	return true
}

// secondDomains gives every item with copies in one failure domain a copy in
// another, out of free memory and of copies beyond what their items need.
func (f *fleet) secondDomains() {
	if f.usable < 2 {
		return
	}
	for _, b := range f.bases() {
		f.secondBase(b)
		for _, a := range f.items[b].adapters {
			f.secondAdapter(a)
		}
	}
}

func (f *fleet) secondBase(b int) {
	if len(f.items[b].copies) == 0 || f.domainsOf(b) >= 2 {
		return
	}
	e, ok := f.pick(b, f.groupMemory(b), b)
	if !ok {
		e, ok = f.pick(b, f.items[b].memory, b)
	}
	if ok {
		f.add(e, b, ReasonSecondDomain)
		return
	}
	f.evictInNewDomain(b)
}

func (f *fleet) secondAdapter(a int) {
	if len(f.items[a].copies) == 0 || f.domainsOf(a) >= 2 {
		return
	}
	if e, ok := f.pickAdapter(a, true); ok {
		f.add(e, a, ReasonSecondDomain)
		return
	}
	if f.evictInNewDomain(a) {
		return
	}
	base := f.items[a].base
	if e, ok := f.pickPair(base, a); ok {
		f.addPair(e, base, a, ReasonSecondDomain)
	}
}

func (f *fleet) addPair(e, base, a int, reason Reason) {
	f.add(e, base, reason)
	if !f.wanted(e, a) {
		f.add(e, a, reason)
	}
}

// pickPair finds an engine for a further copy of a base model that lets its
// adapter into another failure domain.
func (f *fleet) pickPair(base, a int) (int, bool) {
	e, ok := f.pick(base, f.items[base].memory+f.items[a].memory, a)
	if !ok || slices.Contains(f.engines[e].blocked, a) {
		return -1, false
	}
	return e, true
}

func (f *fleet) evictInNewDomain(i int) bool {
	newDomain := func(e int) bool { return f.items[i].domains[f.engines[e].domain] == 0 }
	ev, found := f.evictFor(i, f.items[i].memory, needTwoDomains, newDomain)
	if !found {
		return false
	}
	f.evict(ev)
	f.add(ev.engine, i, ReasonSecondDomain)
	return true
}

// replicas gives every model the copies that the document asks for, where
// memory lets it.
func (f *fleet) replicas() {
	for _, b := range f.bases() {
		for len(f.items[b].copies) > 0 && len(f.items[b].copies) < f.items[b].replicas {
			e, ok := f.pick(b, f.items[b].memory, anywhere)
			if !ok {
				break
			}
			f.add(e, b, ReasonReplicas)
		}
	}
}

func (f *fleet) plan() Plan {
	var p Plan
	for _, key := range f.sequence {
		if _, wanted := f.reasons[key]; wanted {
			p.Assignments = append(p.Assignments, f.assignment(key))
			if _, held := f.held[key]; !held {
				p.Moves++
			}
		}
	}
	slices.SortStableFunc(p.Assignments, func(a, b Assignment) int {
		return urgency(a.Reason) - urgency(b.Reason)
	})
	for _, e := range f.order {
		for _, i := range f.engines[e].wants {
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
		switch f.domainsOf(i) {
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

// urgency orders the reasons, the most urgent lowest.
func urgency(r Reason) int {
	order := []Reason{ReasonFirstCopy, ReasonRelocation, ReasonSecondDomain, ReasonReplicas, ReasonDemand, ReasonStays}
	return slices.Index(order, r)
}
