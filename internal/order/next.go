package order

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Next returns what has to be done at this time. It is called after every
// event and from time to time without one.
func (b *Book) Next(now time.Time) []Action {
	if b.deposed {
		return nil
	}
	var actions []Action
	actions = b.stepIndex(actions)
	actions = b.stepRegisters(actions)
	actions = b.stepPolls(actions, now)
	b.noteControl(now)
	b.draft(now)
	b.noteQuiet(now)
	if b.ready {
		b.decideUnloads(now)
		b.decideLoads(now)
	}
	actions = b.flush(actions)
	actions = b.stepSends(actions, now)
	if b.deposed {
		return nil
	}
	return actions
}

// stepIndex makes the index name every engine and carry this leader's mark.
// An account may be made only for an engine in the index; so a leader that has
// marked the index knows of every account there can be.
func (b *Book) stepIndex(actions []Action) []Action {
	if a, ok := b.index.next(); ok {
		return append(actions, a)
	}
	if !b.index.idle() {
		return actions
	}
	if len(b.names) == len(b.listed.Engines) && b.listed.Fence == b.options.Fence {
		return actions
	}
	names := slices.Clone(b.listed.Engines)
	for _, name := range b.names {
		if _, found := slices.BinarySearch(b.listed.Engines, name); !found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	next := Index{Fence: b.options.Fence, Nonce: b.unique(), Engines: names}
	return append(actions, b.index.write(next.Encode()))
}

// stepRegisters reads every account in the index and marks it.
func (b *Book) stepRegisters(actions []Action) []Action {
	for _, name := range b.names {
		l := b.lines[name]
		if !l.listed {
			continue
		}
		if a, ok := l.next(); ok {
			actions = append(actions, a)
			continue
		}
		if l.idle() && !l.owned {
			mark := l.account
			mark.Engine = name
			mark.Fence = b.options.Fence
			mark.Nonce = b.unique()
			l.proposed = mark
			actions = append(actions, l.write(mark.Encode()))
		}
	}
	return actions
}

func (b *Book) stepPolls(actions []Action, now time.Time) []Action {
	for _, name := range b.names {
		l := b.lines[name]
		if l.spec == nil || l.polling || now.Before(l.nextPoll) {
			continue
		}
		l.polling = true
		actions = append(actions, Poll{Engine: name, Revision: l.revision, Began: now})
	}
	return actions
}

// noteControl finds out whether every account is this leader's. Before that,
// an older leader could still record an order that this one does not see: two
// leaders could each unload the copy that the other counts on.
func (b *Book) noteControl(now time.Time) {
	owned := len(b.names) > 0
	for _, name := range b.names {
		owned = owned && (b.lines[name].owned || b.faults.skipTakeover)
	}
	if owned && b.inControl.IsZero() {
		b.inControl = now
	}
	b.ready = owned
}

// draft starts every line's next account from what is certain.
func (b *Book) draft(now time.Time) {
	for _, name := range b.names {
		l := b.lines[name]
		l.draft = l.account
		l.changed = false
		if !l.owned || !l.idle() {
			continue
		}
		if b.newIncarnation(l) {
			l.draft = l.draft.Reset(l.report.Incarnation, b.brought(l))
			l.changed = true
			clear(l.answers)
			continue
		}
		for _, id := range sortedKeys(l.answers) {
			b.holdFailed(l, id, now)
			l.draft = l.draft.Settle(id, l.answers[id])
			l.changed = true
		}
	}
	b.noteRemoved(now)
}

// holdFailed puts off the next order for an item whose last one failed. An
// engine that cannot do it now would otherwise be asked in every step.
func (b *Book) holdFailed(l *line, id string, now time.Time) {
	if l.answers[id] != Failed && l.answers[id] != Refused {
		return
	}
	for _, e := range l.draft.Entries {
		if e.Load == id || e.Unload == id {
			l.holds[e.Item] = now.Add(b.options.RetryFailed)
		}
	}
}

// newIncarnation says whether the engine is in a later incarnation than the
// account. A report is believed only if its poll began after the account was
// read: an older one may name the incarnation before the account's.
func (b *Book) newIncarnation(l *line) bool {
	if l.report == nil || l.report.Incarnation == l.account.Incarnation {
		return false
	}
	return l.reportRevision == l.revision || b.faults.trustOldReport
}

// brought lists what a new incarnation holds by itself. Memory that the report
// counts but the document does not know is spread over the unknown items, so
// that the sum is right.
func (b *Book) brought(l *line) []Entry {
	var entries []Entry
	var unknown []int
	rest := l.report.MemoryUsed
	for _, r := range l.report.Resident {
		memory, known := b.goal.Memory[r.Item]
		if !known {
			unknown = append(unknown, len(entries))
		}
		rest -= memory
		entries = append(entries, Entry{Item: r.Item, Memory: memory})
	}
	if len(unknown) > 0 && rest > 0 {
		entries[unknown[0]].Memory = rest
	}
	return entries
}

// flush writes the changed drafts.
func (b *Book) flush(actions []Action) []Action {
	for _, name := range b.names {
		l := b.lines[name]
		if !l.changed || !l.idle() {
			continue
		}
		l.draft.Fence = b.options.Fence
		l.draft.Nonce = b.unique()
		l.proposed = l.draft
		actions = append(actions, l.write(l.draft.Encode()))
	}
	return actions
}

// stepSends sends every recorded order that has no definite answer. Only what
// the service is known to hold is sent.
func (b *Book) stepSends(actions []Action, now time.Time) []Action {
	for _, name := range b.names {
		l := b.lines[name]
		if !l.owned || !b.current(l, now) {
			continue
		}
		account := l.account
		if b.faults.sendBeforeWrite && l.pending != nil {
			account = l.draft
		}
		for _, e := range account.Entries {
			actions = b.stepSend(actions, l, e, now)
		}
	}
	return actions
}

func (b *Book) stepSend(actions []Action, l *line, e Entry, now time.Time) []Action {
	for _, o := range []Order{{ID: e.Load, Kind: Load}, {ID: e.Unload, Kind: Unload}} {
		if o.ID == "" {
			continue
		}
		if _, answered := l.answers[o.ID]; answered {
			continue
		}
		s, known := l.sends[o.ID]
		if !known {
			s = &sending{}
			l.sends[o.ID] = s
		}
		if s.inFlight || now.Before(s.next) {
			continue
		}
		s.inFlight = true
		o.Fence, o.Item, o.Memory = b.options.Fence, e.Item, e.Memory
		actions = append(actions, Send{Engine: l.name, Incarnation: l.account.Incarnation, Order: o})
	}
	return actions
}

// current says whether the engine was heard lately in the account's incarnation.
func (b *Book) current(l *line, now time.Time) bool {
	return b.fresh(l, now) && l.report.Incarnation == l.account.Incarnation
}

func (b *Book) fresh(l *line, now time.Time) bool {
	return l.spec != nil && l.report != nil && now.Sub(l.reportBegan) <= b.options.ReportFresh
}

func (b *Book) noteRemoved(now time.Time) {
	for name := range b.removed {
		if _, named := b.goal.Versions[name]; named {
			delete(b.removed, name)
		}
	}
	for _, l := range b.lines {
		for _, e := range l.draft.Entries {
			name := e.Item.Name()
			_, named := b.goal.Versions[name]
			if _, noted := b.removed[name]; !named && !noted {
				b.removed[name] = now
			}
		}
	}
}

func sortedKeys(m map[string]Answer) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// present says whether an engine counts as there for planning. It is slower to
// give an engine up than fresh, so that a few lost reports move nothing.
func (b *Book) present(l *line, now time.Time) bool {
	return l.report != nil && now.Sub(l.reportBegan) <= b.options.AbsentAfter &&
		l.report.Incarnation == l.account.Incarnation && !l.report.Draining
}

// uncertain says whether an engine that is not present may be in a moment: it is
// out of hearing, or has restarted and its account is not written anew yet.
func (b *Book) uncertain(l *line, now time.Time) bool {
	if b.present(l, now) || (l.report != nil && l.report.Draining) {
		return false
	}
	last := l.lastHeard
	if last.Before(b.inControl) {
		last = b.inControl
	}
	return now.Sub(last) <= b.options.ReduceAfter
}

// noteQuiet notes since when nothing moves.
func (b *Book) noteQuiet(now time.Time) {
	for _, name := range b.names {
		l := b.lines[name]
		if l.spec == nil {
			continue
		}
		quiet := b.present(l, now) && l.idle() && !l.changed
		for _, e := range l.draft.Entries {
			quiet = quiet && b.serves(l, e.Item, now)
		}
		if !quiet {
			b.quietSince = now
			return
		}
	}
}

// Quiet says whether nothing has moved for long: what has no place now will not
// get one by waiting.
func (b *Book) Quiet(now time.Time) bool {
	since := b.quietSince
	if since.Before(b.inControl) {
		since = b.inControl
	}
	return b.InControl() && now.Sub(since) > b.options.ReduceAfter
}

// Surveyed says whether every engine has been heard since this leader began, or
// has had the time for it. A plan made before would take the engines that have
// not answered yet for lost, and load copies of what they hold.
func (b *Book) Surveyed(now time.Time) bool {
	if !b.InControl() {
		return false
	}
	if now.Sub(b.inControl) > b.options.AbsentAfter {
		return true
	}
	for _, name := range b.names {
		if l := b.lines[name]; l.spec != nil && !b.current(l, now) {
			return false
		}
	}
	return true
}

// View is what the placement needs to know of the engines in the document.
func (b *Book) View(now time.Time) []placement.Engine {
	var engines []placement.Engine
	for _, spec := range b.goal.Engines {
		l := b.lines[spec.Name]
		e := placement.Engine{
			Name:          spec.Name,
			FailureDomain: spec.FailureDomain,
			Capacity:      spec.Capacity,
			Available:     b.present(l, now),
			Uncertain:     b.uncertain(l, now),
		}
		for _, entry := range l.account.Entries {
			e.Holds = append(e.Holds, placement.Held{
				Item:    entry.Item,
				Memory:  entry.Memory,
				Ready:   b.serves(l, entry.Item, now),
				Leaving: entry.Unload != "",
			})
		}
		engines = append(engines, e)
	}
	return engines
}
