package order

import (
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Next returns the actions to execute now. It must be called after every event, and
// periodically without one.
func (b *Reconciler) Next(now time.Time) []Action {
	if b.deposed {
		return nil
	}
	var actions []Action
	actions = b.stepIndex(actions)
	actions = b.stepRegisters(actions)
	actions = b.stepPolls(actions, now)
	b.updateControl(now)
	b.draftAccounts(now)
	b.updateQuiet(now)
	if b.ownsAll {
		b.decideUnloads(now)
		b.decideLoads(now)
	}
	actions = b.writeDrafts(actions)
	actions = b.stepSends(actions, now)
	if b.deposed {
		return nil
	}
	return actions
}

// stepIndex makes the index list every engine and carry this leader's fencing token. An
// account may be created only for an engine in the index, so a leader that has written
// its fencing token to the index has the complete list of possible accounts.
func (b *Reconciler) stepIndex(actions []Action) []Action {
	if a, ok := b.index.next(); ok {
		return append(actions, a)
	}
	if !b.index.idle() {
		return actions
	}
	if len(b.engineNames) == len(b.knownIndex.Engines) && b.knownIndex.Fence == b.options.Fence {
		return actions
	}
	names := slices.Clone(b.knownIndex.Engines)
	for _, name := range b.engineNames {
		if _, found := slices.BinarySearch(b.knownIndex.Engines, name); !found {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	next := Index{Fence: b.options.Fence, Nonce: b.uniqueID(), Engines: names}
	return append(actions, b.index.write(next.Encode()))
}

// stepRegisters reads every account in the index and writes this leader's fencing token
// to it.
func (b *Reconciler) stepRegisters(actions []Action) []Action {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if !state.listed {
			continue
		}
		if a, ok := state.next(); ok {
			actions = append(actions, a)
			continue
		}
		if state.idle() && !state.owned {
			proposal := state.account
			proposal.Engine = name
			proposal.Fence = b.options.Fence
			proposal.Nonce = b.uniqueID()
			state.proposed = proposal
			actions = append(actions, state.write(proposal.Encode()))
		}
	}
	return actions
}

// stepPolls polls every engine in the document whose next poll is due.
func (b *Reconciler) stepPolls(actions []Action, now time.Time) []Action {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if state.spec == nil || state.polling || now.Before(state.nextPoll) {
			continue
		}
		state.polling = true
		actions = append(actions, Poll{Engine: name, Revision: state.revision, Began: now})
	}
	return actions
}

// updateControl checks whether every account carries this leader's fencing token. Until
// then, an older leader could still record an order that this one does not see: two
// leaders could each unload the copy that the other relies on.
func (b *Reconciler) updateControl(now time.Time) {
	owned := len(b.engineNames) > 0
	for _, name := range b.engineNames {
		owned = owned && (b.engines[name].owned || b.faults.skipTakeover)
	}
	if owned && b.inControlSince.IsZero() {
		b.inControlSince = now
	}
	b.ownsAll = owned
}

// draftAccounts starts every engine's next account from its last known one, and applies
// a new incarnation and the definite answers.
func (b *Reconciler) draftAccounts(now time.Time) {
	for _, name := range b.engineNames {
		state := b.engines[name]
		state.draft = state.account
		state.changed = false
		if !state.owned || !state.idle() {
			continue
		}
		if b.newIncarnation(state) {
			state.draft = state.draft.Reset(state.report.Incarnation, b.residentEntries(state))
			state.changed = true
			clear(state.answers)
			continue
		}
		for _, id := range sortedKeys(state.answers) {
			b.delayRetry(state, id, now)
			state.draft = state.draft.Settle(id, state.answers[id])
			state.changed = true
		}
	}
	b.updateRemoved(now)
}

// delayRetry delays the next order for an item whose order failed or was refused. An
// engine that cannot execute it now would otherwise receive one in every step.
func (b *Reconciler) delayRetry(state *engineState, id string, now time.Time) {
	if state.answers[id] != Failed && state.answers[id] != Refused {
		return
	}
	for _, e := range state.draft.Entries {
		if e.Load == id || e.Unload == id {
			state.retryAfter[e.Item] = now.Add(b.options.RetryFailed)
		}
	}
}

// newIncarnation reports whether the engine is in a later incarnation than the account.
// A report is used only if its poll began after the account was read: an older one may
// contain an incarnation before the account's.
func (b *Reconciler) newIncarnation(state *engineState) bool {
	if state.report == nil || state.report.Incarnation == state.account.Incarnation {
		return false
	}
	return state.reportRevision == state.revision || b.faults.trustOldReport
}

// residentEntries returns entries for the items that a new incarnation holds after its
// start. Memory that is reported but not accounted for by the document's items is
// attributed to the first item that is not in the document, so that the sum is right.
func (b *Reconciler) residentEntries(state *engineState) []Entry {
	var entries []Entry
	var unknown []int
	unassigned := state.report.MemoryUsed
	for _, r := range state.report.Resident {
		memory, known := b.goal.Memory[r.Item]
		if !known {
			unknown = append(unknown, len(entries))
		}
		unassigned -= memory
		entries = append(entries, Entry{Item: r.Item, Memory: memory})
	}
	if len(unknown) > 0 && unassigned > 0 {
		entries[unknown[0]].Memory = unassigned
	}
	return entries
}

// writeDrafts writes the changed drafts.
func (b *Reconciler) writeDrafts(actions []Action) []Action {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if !state.changed || !state.idle() {
			continue
		}
		state.draft.Fence = b.options.Fence
		state.draft.Nonce = b.uniqueID()
		state.proposed = state.draft
		actions = append(actions, state.write(state.draft.Encode()))
	}
	return actions
}

// stepSends sends every recorded order that has no definite answer. Only orders that are
// known to be stored in the key-value service are sent.
func (b *Reconciler) stepSends(actions []Action, now time.Time) []Action {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if !state.owned || !b.hasCurrentReport(state, now) {
			continue
		}
		account := state.account
		if b.faults.sendBeforeWrite && state.pending != nil {
			account = state.draft
		}
		for _, e := range account.Entries {
			actions = b.stepSend(actions, state, e, now)
		}
	}
	return actions
}

// stepSend sends the orders of one entry that are due and not in flight.
func (b *Reconciler) stepSend(actions []Action, state *engineState, e Entry, now time.Time) []Action {
	for _, o := range []Order{{ID: e.Load, Kind: Load}, {ID: e.Unload, Kind: Unload}} {
		if o.ID == "" {
			continue
		}
		if _, answered := state.answers[o.ID]; answered {
			continue
		}
		s, known := state.sends[o.ID]
		if !known {
			s = &sendState{}
			state.sends[o.ID] = s
		}
		if s.inFlight || now.Before(s.nextSend) {
			continue
		}
		s.inFlight = true
		o.Fence, o.Item, o.Memory = b.options.Fence, e.Item, e.Memory
		actions = append(actions, Send{Engine: state.name, Incarnation: state.account.Incarnation, Order: o})
	}
	return actions
}

// hasCurrentReport reports whether the engine has a fresh report from the account's
// incarnation.
func (b *Reconciler) hasCurrentReport(state *engineState, now time.Time) bool {
	return b.hasFreshReport(state, now) && state.report.Incarnation == state.account.Incarnation
}

// hasFreshReport reports whether the engine is in the document and the poll of its last
// report began at most ReportFresh ago.
func (b *Reconciler) hasFreshReport(state *engineState, now time.Time) bool {
	return state.spec != nil && state.report != nil && now.Sub(state.reportBegan) <= b.options.ReportFresh
}

// updateRemoved records since when each held name has been missing from the document.
func (b *Reconciler) updateRemoved(now time.Time) {
	for name := range b.removedSince {
		if _, named := b.goal.Versions[name]; named {
			delete(b.removedSince, name)
		}
	}
	for _, state := range b.engines {
		for _, e := range state.draft.Entries {
			name := e.Item.Name()
			_, named := b.goal.Versions[name]
			if _, noted := b.removedSince[name]; !named && !noted {
				b.removedSince[name] = now
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

// present reports whether an engine counts as available for placement. AbsentAfter is
// meant to be longer than ReportFresh, so that a few lost reports cause no moves.
func (b *Reconciler) present(state *engineState, now time.Time) bool {
	return state.report != nil && now.Sub(state.reportBegan) <= b.options.AbsentAfter &&
		state.report.Incarnation == state.account.Incarnation && !state.report.Draining
}

// uncertain reports whether an engine that is not present may be so again soon: its
// reports are missing, or it has restarted and its account is not rewritten yet.
func (b *Reconciler) uncertain(state *engineState, now time.Time) bool {
	if b.present(state, now) || (state.report != nil && state.report.Draining) {
		return false
	}
	last := state.lastReportAt
	if last.Before(b.inControlSince) {
		last = b.inControlSince
	}
	return now.Sub(last) <= b.options.ReduceAfter
}

// updateQuiet resets quietSince if an engine is not present, an account is being changed
// or a copy does not serve.
func (b *Reconciler) updateQuiet(now time.Time) {
	for _, name := range b.engineNames {
		state := b.engines[name]
		if state.spec == nil {
			continue
		}
		quiet := b.present(state, now) && state.idle() && !state.changed
		for _, e := range state.draft.Entries {
			quiet = quiet && b.serves(state, e.Item, now)
		}
		if !quiet {
			b.quietSince = now
			return
		}
	}
}

// Stable reports whether nothing has changed for longer than ReduceAfter: a copy that has
// no place now will not get one by waiting.
func (b *Reconciler) Stable(now time.Time) bool {
	since := b.quietSince
	if since.Before(b.inControlSince) {
		since = b.inControlSince
	}
	return b.InControl() && now.Sub(since) > b.options.ReduceAfter
}

// Surveyed reports whether every engine in the document has a current report, or
// AbsentAfter has passed since this leader took control. An earlier plan would treat the
// engines that have not answered yet as lost, and load further copies of what they hold.
func (b *Reconciler) Surveyed(now time.Time) bool {
	if !b.InControl() {
		return false
	}
	if now.Sub(b.inControlSince) > b.options.AbsentAfter {
		return true
	}
	for _, name := range b.engineNames {
		if state := b.engines[name]; state.spec != nil && !b.hasCurrentReport(state, now) {
			return false
		}
	}
	return true
}

// View returns the placement's input for the engines in the document.
func (b *Reconciler) View(now time.Time) []placement.Engine {
	var engines []placement.Engine
	for _, spec := range b.goal.Engines {
		state := b.engines[spec.Name]
		e := placement.Engine{
			Name:          spec.Name,
			FailureDomain: spec.FailureDomain,
			Capacity:      spec.Capacity,
			Available:     b.present(state, now),
			Uncertain:     b.uncertain(state, now),
		}
		for _, entry := range state.account.Entries {
			e.HeldItems = append(e.HeldItems, placement.HeldItem{
				Item:      entry.Item,
				Memory:    entry.Memory,
				Ready:     b.serves(state, entry.Item, now),
				Unloading: entry.Unload != "",
			})
		}
		engines = append(engines, e)
	}
	return engines
}
