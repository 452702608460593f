package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Reconciler moves the engines towards the Goal for one leader: it holds the leader's view
// of all accounts and decides the actions. A new one is made for each leadership. It is not safe for concurrent use.
type Reconciler struct {
	options Options
	goal    Goal
	wanted  map[engineItem]struct{}
	// planned holds, for each item, the number of wanted copies by failure domain.
	planned map[placement.Item]map[string]int
	// reduced is the set of names that give up their second failure domain.
	reduced map[placement.Name]struct{}
	index   register
	// knownIndex is the last known index, decoded.
	knownIndex  Index
	engines     map[string]*engineState
	byKey       map[string]*engineState
	engineNames []string
	// sequence is a counter for order IDs and nonces.
	sequence int64
	deposed  bool
	// inControlSince is when the last account was taken over, or zero.
	inControlSince time.Time
	// ownsAll is true if every account carries this leader's fencing token.
	ownsAll bool
	// quietSince is the time since when every engine has been present and every copy
	// has been serving.
	quietSince time.Time
	// firstAnswered holds the time of the first answer to each load order.
	firstAnswered map[string]time.Time
	// removedSince holds when a name was first found missing from the document.
	removedSince map[placement.Name]time.Time
	faults       faults
}

// faults are planted by tests to check that the oracle detects them.
type faults struct {
	sendBeforeWrite    bool
	freeUnsettled      bool
	unloadBeforeReady  bool
	countOwnLoadsOnly  bool
	skipTakeover       bool
	trustOldReport     bool
	forgetUnknownWrite bool
	anyIncarnation     bool
	blindToPending     bool
}

type engineItem struct {
	engine string
	item   placement.Item
}

// engineState is the state of one engine and its account.
type engineState struct {
	register
	name string
	// spec is nil for an engine that is not in the document.
	spec    *EngineSpec
	account Account
	// listed means that the index lists the engine and carries this leader's
	// fencing token.
	listed bool
	// owned means that the account carries this leader's fencing token.
	owned bool
	// proposed is the account that the pending write contains.
	proposed Account
	// draft is the account that the current step is to write, if changed.
	draft   Account
	changed bool
	// answers holds definite answers, by order ID, that are not written yet.
	answers map[string]Answer
	sends   map[string]*sendState
	report  *Report
	// reportRevision is the account's revision when the report's poll began.
	reportRevision int64
	reportBegan    time.Time
	polling        bool
	nextPoll       time.Time
	lastReportAt   time.Time
	// missingItems holds the settled items that are missing from reports.
	missingItems map[placement.Item]missingReport
	// retryAfter holds the time until which no order is recorded for an item whose
	// last order failed.
	retryAfter map[placement.Item]time.Time
}

// missingReport holds since when, and from how many reports, an item has been missing.
type missingReport struct {
	since   time.Time
	last    time.Time
	reports int
}

// sendState is the sending state of one order.
type sendState struct {
	inFlight bool
	nextSend time.Time
}

// NewReconciler returns the reconciler of a new leader.
func NewReconciler(o Options) *Reconciler {
	b := &Reconciler{
		options:       o.withDefaults(),
		engines:       make(map[string]*engineState),
		byKey:         make(map[string]*engineState),
		firstAnswered: make(map[string]time.Time),
		removedSince:  make(map[placement.Name]time.Time),
	}
	b.index.key = b.options.Prefix + "index"
	return b
}

// SetLoadLimits sets the weight store's limits on loads started per second and on loads that
// run at once.
func (b *Reconciler) SetLoadLimits(loadsPerSecond float64, concurrent int) {
	b.options.LoadsPerSecond = loadsPerSecond
	b.options.ConcurrentLoads = concurrent
}

// SetGoal replaces the goal.
func (b *Reconciler) SetGoal(g Goal) {
	b.goal = g
	b.wanted = make(map[engineItem]struct{}, len(g.Assignments))
	b.planned = make(map[placement.Item]map[string]int)
	b.reduced = make(map[placement.Name]struct{}, len(g.Reduced))
	for _, name := range g.Reduced {
		b.reduced[name] = struct{}{}
	}
	for _, state := range b.engines {
		state.spec = nil
	}
	domains := make(map[string]string, len(g.Engines))
	for i := range g.Engines {
		spec := &g.Engines[i]
		b.engineState(spec.Name).spec = spec
		domains[spec.Name] = spec.FailureDomain
	}
	for _, a := range g.Assignments {
		b.wanted[engineItem{a.Engine, a.Item}] = struct{}{}
		if b.planned[a.Item] == nil {
			b.planned[a.Item] = make(map[string]int)
		}
		b.planned[a.Item][domains[a.Engine]]++
	}
}

// engineState returns the state of an engine, which it creates if necessary.
func (b *Reconciler) engineState(name string) *engineState {
	state, known := b.engines[name]
	if known {
		return state
	}
	state = &engineState{name: name, answers: make(map[string]Answer), sends: make(map[string]*sendState)}
	state.missingItems = make(map[placement.Item]missingReport)
	state.retryAfter = make(map[placement.Item]time.Time)
	state.key = b.options.Prefix + "engines/" + name
	b.engines[name] = state
	b.byKey[state.key] = state
	at, _ := slices.BinarySearch(b.engineNames, name)
	b.engineNames = slices.Insert(b.engineNames, at, name)
	return state
}

// Deposed reports whether a record was found that carries a later leader's fencing token
// or cannot be decoded. Next then returns no more actions.
func (b *Reconciler) Deposed() bool { return b.deposed }

// InControl reports whether every account carries this leader's fencing token.
func (b *Reconciler) InControl() bool { return b.ownsAll && !b.deposed }

// ReadDone records the result of a Read. With ok false the read failed.
func (b *Reconciler) ReadDone(key string, s Stored, ok bool) {
	if r := b.register(key); r != nil {
		r.readDone(s, ok)
		b.decodeValue(key)
	}
}

// WriteDone records the result of a Write. Current is the conflicting value, if known.
func (b *Reconciler) WriteDone(key string, outcome WriteOutcome, revision int64, current *Stored) {
	if r := b.register(key); r != nil {
		if b.faults.forgetUnknownWrite && outcome == OutcomeUnknown {
			outcome, revision = TookEffect, r.revision+1
		}
		r.written(outcome, revision, current)
		b.decodeValue(key)
	}
}

// register returns the register of a key, or nil.
func (b *Reconciler) register(key string) *register {
	if key == b.index.key {
		return &b.index
	}
	if state, known := b.byKey[key]; known {
		return &state.register
	}
	return nil
}

// decodeValue decodes the value of a key once it is known and no write is pending.
func (b *Reconciler) decodeValue(key string) {
	if key == b.index.key {
		b.decodeIndexValue()
		return
	}
	if state := b.byKey[key]; state.idle() {
		b.decodeAccountValue(state)
	}
}

func (b *Reconciler) decodeIndexValue() {
	if !b.index.idle() || len(b.index.value) == 0 {
		return
	}
	index, err := DecodeIndex(b.index.value)
	if err != nil || index.Fence > b.options.Fence {
		// No decisions are made from an index that cannot be decoded.
		b.deposed = true
		return
	}
	b.knownIndex = index
	for _, name := range index.Engines {
		b.engineState(name).listed = index.Fence == b.options.Fence
	}
}

func (b *Reconciler) decodeAccountValue(state *engineState) {
	if len(state.value) == 0 {
		return
	}
	account, err := DecodeAccount(state.value)
	if err != nil || account.Fence > b.options.Fence {
		b.deposed = true
		return
	}
	state.account = account
	state.owned = account.Fence == b.options.Fence
	state.dropSettledOrders()
}

// dropSettledOrders removes the answers and the sending state of orders that are no
// longer in the account.
func (state *engineState) dropSettledOrders() {
	unsettled := make(map[string]struct{})
	for _, e := range state.account.Entries {
		unsettled[e.Load] = struct{}{}
		unsettled[e.Unload] = struct{}{}
	}
	for id := range state.answers {
		if _, ok := unsettled[id]; !ok {
			delete(state.answers, id)
		}
	}
	for id := range state.sends {
		if _, ok := unsettled[id]; !ok {
			delete(state.sends, id)
		}
	}
}

// Reported records the result of a Poll. With ok false there was no answer.
func (b *Reconciler) Reported(p Poll, r Report, ok bool, now time.Time) {
	state, known := b.engines[p.Engine]
	if !known {
		return
	}
	state.polling = false
	state.nextPoll = now.Add(b.options.PollEvery)
	if !ok || p.Began.Before(state.reportBegan) {
		return
	}
	state.report = &r
	state.reportBegan = p.Began
	state.reportRevision = p.Revision
	state.lastReportAt = now
}

// Answered records an engine's answer to a Send.
func (b *Reconciler) Answered(s Send, answer Answer, now time.Time) {
	state, known := b.engines[s.Engine]
	if !known {
		return
	}
	b.scheduleRepeat(state, s.Order.ID, now)
	if s.Order.Kind == Load {
		if _, before := b.firstAnswered[s.Order.ID]; !before {
			b.firstAnswered[s.Order.ID] = now
		}
	}
	if answer != Running && s.Incarnation == state.account.Incarnation {
		state.answers[s.Order.ID] = answer
	}
}

// Unanswered records that a Send was not answered, or not sent because the engine is in
// another incarnation.
func (b *Reconciler) Unanswered(s Send, now time.Time) {
	if state, known := b.engines[s.Engine]; known {
		b.scheduleRepeat(state, s.Order.ID, now)
	}
}

// scheduleRepeat ends a send and sets the time from which the order may be repeated.
func (b *Reconciler) scheduleRepeat(state *engineState, id string, now time.Time) {
	if s, known := state.sends[id]; known {
		s.inFlight = false
		s.nextSend = now.Add(b.options.RepeatAfter)
	}
}

// uniqueID returns an ID that no other call and no other leader returns.
func (b *Reconciler) uniqueID() string {
	b.sequence++
	return fmt.Sprintf("%d-%d", b.options.Fence, b.sequence)
}
