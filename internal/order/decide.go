package order

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// decideLoads records as many wanted loads as the engines' memory and the weight
// store's limits allow, most urgent first.
func (b *Reconciler) decideLoads(now time.Time) {
	budget := b.budget(now)
	for _, a := range b.goal.Assignments {
		if !budget.allows() {
			return
		}
		if a.Reason == placement.ReasonStays {
			continue
		}
		state, known := b.engines[a.Engine]
		if !known || !b.mayChange(state, now) || state.draft.Find(a.Item) >= 0 || now.Before(state.retryAfter[a.Item]) {
			continue
		}
		if !a.Item.IsBase() && !b.baseServes(state, a.Item.Model, now) {
			continue
		}
		next, err := state.draft.WithLoad(a.Item, a.Memory, state.spec.Capacity, b.uniqueID())
		if err != nil {
			continue
		}
		state.draft = next
		state.changed = true
		budget.consume()
	}
}

// mayChange reports whether a new order may be recorded in an engine's account now.
func (b *Reconciler) mayChange(state *engineState, now time.Time) bool {
	return state.owned && state.idle() && b.hasCurrentReport(state, now) && !state.report.Draining &&
		state.draft.Incarnation == state.report.Incarnation
}

// decideUnloads records unload orders for unwanted copies, as far as every name keeps the
// ready copies that it needs, and for copies that are missing from reports.
func (b *Reconciler) decideUnloads(now time.Time) {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if !b.mayChange(state, now) || !state.spec.Planned {
			continue
		}
		for _, e := range state.draft.Entries {
			if now.Before(state.retryAfter[e.Item]) {
				continue
			}
			if b.missingFromReports(state, e, now) {
				b.recordUnload(state, e.Item)
				continue
			}
			if _, wanted := b.wanted[engineItem{state.name, e.Item}]; wanted {
				continue
			}
			if !e.Settled() && !(b.faults.freeUnsettled && e.Unload == "") {
				continue
			}
			if b.mayUnload(state, e.Item, now) {
				b.recordUnload(state, e.Item)
			}
		}
	}
}

func (b *Reconciler) recordUnload(state *engineState, item placement.Item) {
	if b.faults.freeUnsettled {
		if at := state.draft.Find(item); state.draft.Entries[at].Load != "" {
			state.draft = state.draft.Settle(state.draft.Entries[at].Load, Done)
		}
	}
	next, err := state.draft.WithUnload(item, b.uniqueID())
	if err != nil {
		return
	}
	state.draft = next
	state.changed = true
}

// minMissingReports is the number of reports from which a copy must be missing. More
// than one is needed because the first of them may be older than the copy.
const minMissingReports = 4

// missingFromReports reports whether an engine has stopped reporting an item that it was
// ordered to load. The entry cannot simply be deleted, since a report may be older than
// the load; only an answered unload makes certain that the item is gone.
func (b *Reconciler) missingFromReports(state *engineState, e Entry, now time.Time) bool {
	reported := slices.ContainsFunc(state.report.Resident, func(r ReportItem) bool { return r.Item == e.Item })
	if reported || !e.Settled() {
		delete(state.missingItems, e.Item)
		return false
	}
	m := state.missingItems[e.Item]
	if m.reports == 0 {
		m.since = now
	}
	if state.reportBegan.After(m.last) {
		m.last = state.reportBegan
		m.reports++
	}
	state.missingItems[e.Item] = m
	return m.reports >= minMissingReports && now.Sub(m.since) >= b.options.MissingAfter
}

// mayUnload reports whether a copy can be unloaded. Copies for which this step has
// already recorded an unload are not counted as ready, since the drafts contain the order.
func (b *Reconciler) mayUnload(state *engineState, item placement.Item, now time.Time) bool {
	if b.faults.unloadBeforeReady {
		return true
	}
	if item.IsBase() && b.hasDependentAdapters(state, item, now) {
		return false
	}
	version, named := b.goal.Versions[item.Name()]
	if !named {
		since, noted := b.removedSince[item.Name()]
		return noted && now.Sub(since) >= b.options.RemovalGrace
	}
	current := item
	current.Version = version
	if len(b.planned[current]) == 0 {
		return false
	}
	return b.readyDomains(anyVersion(item), engineItem{state.name, item}, now) >= b.requiredDomains(item, current, now)
}

// requiredDomains returns the number of failure domains in which a name must stay ready
// when a copy is unloaded: as many as hold it now, at most two. It may be one if the plan
// gives up the second domain in favour of a name that has none, or if the plan has no
// place for a second copy and Quiet is true. Until then the plan is not reliable: when a
// base model is replaced, its adapters are at first wanted beside the new version in one
// domain only.
func (b *Reconciler) requiredDomains(item, current placement.Item, now time.Time) int {
	if _, reduced := b.reduced[item.Name()]; reduced {
		return 1
	}
	if len(b.planned[current]) == 1 && b.Stable(now) {
		return 1
	}
	return max(1, min(2, b.heldDomains(item.Name(), now)))
}

// heldDomains counts the failure domains that hold a name, ready or not, on engines that
// are present or uncertain. Readiness is not required because reports lag: a copy that is
// not reported ready may be the second one, and a copy that is reported may be gone.
func (b *Reconciler) heldDomains(name placement.Name, now time.Time) int {
	domains := make(map[string]struct{})
	for _, engine := range b.engineNames {
		state := b.engines[engine]
		if state.spec == nil || !(b.present(state, now) || b.uncertain(state, now)) {
			continue
		}
		for _, e := range state.draft.Entries {
			if e.Item.Name() == name && e.Unload == "" {
				domains[state.spec.FailureDomain] = struct{}{}
			}
		}
	}
	return len(domains)
}

// anyVersion returns an item without a version, which readyDomains matches with every
// version of its name.
func anyVersion(item placement.Item) placement.Item {
	item.Version = ""
	return item
}

// hasDependentAdapters reports whether adapters on the engine need this base model: no
// other version of it serves there.
func (b *Reconciler) hasDependentAdapters(state *engineState, base placement.Item, now time.Time) bool {
	dependent := false
	for _, e := range state.draft.Entries {
		if e.Item.Model != base.Model || e.Item == base {
			continue
		}
		if e.Item.IsBase() && b.serves(state, e.Item, now) {
			return false
		}
		dependent = dependent || !e.Item.IsBase()
	}
	return dependent
}

// readyDomains counts the failure domains with a ready copy of an item, or of any
// version of its name if the item's version is empty. The copy given by except is not
// counted.
func (b *Reconciler) readyDomains(item placement.Item, except engineItem, now time.Time) int {
	domains := make(map[string]struct{})
	for _, name := range b.engineNames {
		state := b.engines[name]
		if !state.owned || !b.hasCurrentReport(state, now) {
			continue
		}
		for _, e := range state.draft.Entries {
			same := e.Item == item || (item.Version == "" && e.Item.Name() == item.Name())
			if same && (engineItem{name, e.Item}) != except && b.serves(state, e.Item, now) {
				domains[state.spec.FailureDomain] = struct{}{}
			}
		}
	}
	return len(domains)
}

// serves reports whether an item's copy on an engine is reliably ready: it is reported
// ready, no order can unload it, and its base model serves too.
func (b *Reconciler) serves(state *engineState, item placement.Item, now time.Time) bool {
	if !b.hasCurrentReport(state, now) || state.report.Draining || !b.settledAndReady(state, item) {
		return false
	}
	return item.IsBase() || b.baseServes(state, item.Model, now)
}

// baseServes reports whether any version of a base model serves on the engine.
func (b *Reconciler) baseServes(state *engineState, model string, now time.Time) bool {
	for _, e := range state.draft.Entries {
		if e.Item.Model == model && e.Item.IsBase() && b.hasCurrentReport(state, now) && b.settledAndReady(state, e.Item) {
			return true
		}
	}
	return false
}

// settledAndReady reports whether an item is settled in the draft and in the pending
// write, if there is one, and is reported ready.
func (b *Reconciler) settledAndReady(state *engineState, item placement.Item) bool {
	at := state.draft.Find(item)
	if at < 0 || !state.draft.Entries[at].Settled() {
		return false
	}
	if state.pending != nil && !b.faults.blindToPending {
		// An unload order in the pending write may be in flight to the engine
		// before the result of the write arrives here.
		at = state.proposed.Find(item)
		if at < 0 || !state.proposed.Entries[at].Settled() {
			return false
		}
	}
	for _, r := range state.report.Resident {
		if r.Item == item {
			return r.Ready
		}
	}
	return false
}
