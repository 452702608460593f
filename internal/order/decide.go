package order

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// decideLoads records as many wanted loads as memory and the weight store let,
// the most urgent first.
func (b *Book) decideLoads(now time.Time) {
	budget := b.budget(now)
	for _, a := range b.goal.Assignments {
		if !budget.allows() {
			return
		}
		if a.Reason == placement.ReasonStays {
			continue
		}
		l, known := b.lines[a.Engine]
		if !known || !b.mayChange(l, now) || l.draft.Find(a.Item) >= 0 || now.Before(l.holds[a.Item]) {
			continue
		}
		if !a.Item.IsBase() && !b.baseServes(l, a.Item.Model, now) {
			continue
		}
		next, err := l.draft.WithLoad(a.Item, a.Memory, l.spec.Capacity, b.unique())
		if err != nil {
			continue
		}
		l.draft = next
		l.changed = true
		budget.take()
	}
}

// mayChange says whether a line's account may get a new order now.
func (b *Book) mayChange(l *line, now time.Time) bool {
	return l.owned && l.idle() && b.current(l, now) && !l.report.Draining &&
		l.draft.Incarnation == l.report.Incarnation
}

// decideUnloads records the unloading of copies that are not wanted, as far as
// every name keeps the ready copies that it needs.
func (b *Book) decideUnloads(now time.Time) {
	for _, name := range b.names {
		l := b.lines[name]
		if !b.mayChange(l, now) || !l.spec.Planned {
			continue
		}
		for _, e := range l.draft.Entries {
			if now.Before(l.holds[e.Item]) {
				continue
			}
			if b.lost(l, e, now) {
				b.recordUnload(l, e.Item)
				continue
			}
			if _, wanted := b.wanted[wantedKey{l.name, e.Item}]; wanted {
				continue
			}
			if !e.Settled() && !(b.faults.freeUnsettled && e.Unload == "") {
				continue
			}
			if b.mayUnload(l, e.Item, now) {
				b.recordUnload(l, e.Item)
			}
		}
	}
}

func (b *Book) recordUnload(l *line, item placement.Item) {
	if b.faults.freeUnsettled {
		if at := l.draft.Find(item); l.draft.Entries[at].Load != "" {
			l.draft = l.draft.Settle(l.draft.Entries[at].Load, Done)
		}
	}
	next, err := l.draft.WithUnload(item, b.unique())
	if err != nil {
		return
	}
	l.draft = next
	l.changed = true
}

// missingReports is in how many reports a copy must be missing: the first of
// them may be older than the copy.
const missingReports = 4

// lost says whether the engine no longer reports an item that it was told to
// load. The item cannot just be struck out, since a report may be older than
// the load; an unload that is answered makes certain.
func (b *Book) lost(l *line, e Entry, now time.Time) bool {
	reported := slices.ContainsFunc(l.report.Resident, func(r ReportItem) bool { return r.Item == e.Item })
	if reported || !e.Settled() {
		delete(l.missing, e.Item)
		return false
	}
	m := l.missing[e.Item]
	if m.reports == 0 {
		m.since = now
	}
	if l.reportBegan.After(m.last) {
		m.last = l.reportBegan
		m.reports++
	}
	l.missing[e.Item] = m
	return m.reports >= missingReports && now.Sub(m.since) >= b.options.MissingAfter
}

// mayUnload says whether a copy can go. Copies that are on their way out in
// this very step are already left out of the count, since the drafts say so.
func (b *Book) mayUnload(l *line, item placement.Item, now time.Time) bool {
	if b.faults.unloadBeforeReady {
		return true
	}
	if item.IsBase() && b.carriesAdapters(l, item, now) {
		return false
	}
	version, named := b.goal.Versions[item.Name()]
	if !named {
		since, noted := b.removed[item.Name()]
		return noted && now.Sub(since) >= b.options.RemovalGrace
	}
	current := item
	current.Version = version
	if len(b.planned[current]) == 0 {
		return false
	}
	return b.readyDomains(anyVersion(item), wantedKey{l.name, item}, now) >= b.needed(item, current, now)
}

// needed is the number of failure domains in which a name must stay ready when
// a copy goes: as many as now, at most two. It may become one where the plan
// gives the second up for a name that has none, or has no place for a second
// and nothing has moved for long. Before that the plan is no guide: when a
// base model is replaced, its adapters are at first wanted beside the new
// version in one domain only.
func (b *Book) needed(item, current placement.Item, now time.Time) int {
	if _, reduced := b.reduced[item.Name()]; reduced {
		return 1
	}
	if len(b.planned[current]) == 1 && b.Quiet(now) {
		return 1
	}
	return max(1, min(2, b.heldDomains(item.Name(), now)))
}

// heldDomains counts the failure domains that hold a name, ready or not yet, on
// engines that may be there. A report lags: a copy that it does not show ready
// may be the second one, and what it does show may be gone.
func (b *Book) heldDomains(name placement.Name, now time.Time) int {
	domains := make(map[string]struct{})
	for _, engine := range b.names {
		l := b.lines[engine]
		if l.spec == nil || !(b.present(l, now) || b.uncertain(l, now)) {
			continue
		}
		for _, e := range l.draft.Entries {
			if e.Item.Name() == name && e.Unload == "" {
				domains[l.spec.FailureDomain] = struct{}{}
			}
		}
	}
	return len(domains)
}

// anyVersion stands for every version of an item's name.
func anyVersion(item placement.Item) placement.Item {
	item.Version = ""
	return item
}

// carriesAdapters says whether adapters on the engine still need this base.
func (b *Book) carriesAdapters(l *line, base placement.Item, now time.Time) bool {
	carries := false
	for _, e := range l.draft.Entries {
		if e.Item.Model != base.Model || e.Item == base {
			continue
		}
		if e.Item.IsBase() && b.serves(l, e.Item, now) {
			return false
		}
		carries = carries || !e.Item.IsBase()
	}
	return carries
}

// readyDomains counts the failure domains with a ready copy of an item, or of
// any version of its name if the item's is empty, leaving out one copy.
func (b *Book) readyDomains(item placement.Item, except wantedKey, now time.Time) int {
	domains := make(map[string]struct{})
	for _, name := range b.names {
		l := b.lines[name]
		if !l.owned || !b.current(l, now) {
			continue
		}
		for _, e := range l.draft.Entries {
			same := e.Item == item || (item.Version == "" && e.Item.Name() == item.Name())
			if same && (wantedKey{name, e.Item}) != except && b.serves(l, e.Item, now) {
				domains[l.spec.FailureDomain] = struct{}{}
			}
		}
	}
	return len(domains)
}

// serves says whether an item's copy on an engine can be counted on: it is
// reported ready, no order can take it away, and its base model serves too.
func (b *Book) serves(l *line, item placement.Item, now time.Time) bool {
	if !b.current(l, now) || l.report.Draining || !b.steady(l, item) {
		return false
	}
	return item.IsBase() || b.baseServes(l, item.Model, now)
}

// baseServes says whether any version of a base model serves on the engine.
func (b *Book) baseServes(l *line, model string, now time.Time) bool {
	for _, e := range l.draft.Entries {
		if e.Item.Model == model && e.Item.IsBase() && b.current(l, now) && b.steady(l, e.Item) {
			return true
		}
	}
	return false
}

func (b *Book) steady(l *line, item placement.Item) bool {
	at := l.draft.Find(item)
	if at < 0 || !l.draft.Entries[at].Settled() {
		return false
	}
	if l.pending != nil && !b.faults.blindToPending {
		// An unload that is being written may be on its way before the answer
		// to the write is here.
		at = l.proposed.Find(item)
		if at < 0 || !l.proposed.Entries[at].Settled() {
			return false
		}
	}
	for _, r := range l.report.Resident {
		if r.Item == item {
			return r.Ready
		}
	}
	return false
}
