package order

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Book is one leader's view of all accounts, and the decisions that follow from
// it. It lives as long as the leadership. It is not safe for concurrent use.
type Book struct {
	options Options
	goal    Goal
	wanted  map[wantedKey]struct{}
	// planned counts, for each item, the wanted copies by failure domain.
	planned map[placement.Item]map[string]int
	// reduced lists the names whose second failure domain is given up.
	reduced map[placement.Name]struct{}
	index   register
	// listed is the index as last known, decoded.
	listed Index
	lines  map[string]*line
	byKey  map[string]*line
	names  []string
	// sequence makes order IDs and nonces.
	sequence int64
	deposed  bool
	// inControl is when the last account was taken over.
	inControl time.Time
	ready     bool
	// quietSince is since when every engine was there and every copy served.
	quietSince time.Time
	// acked holds the time of the first answer to each load order.
	acked map[string]time.Time
	// removed is when a name was first found missing from the document.
	removed map[placement.Name]time.Time
	faults  faults
}

// faults are planted in tests, to see that the oracle finds them.
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

type wantedKey struct {
	engine string
	item   placement.Item
}

// line is one engine's part of the book.
type line struct {
	register
	name string
	// spec is nil for an engine that the document does not name.
	spec    *EngineSpec
	account Account
	// listed says that the index names the engine under this leader's mark.
	listed bool
	owned  bool
	// proposed is the account that the pending write holds.
	proposed Account
	// draft is the account that the present step wants to write.
	draft   Account
	changed bool
	// answers are definite answers that are not written yet.
	answers map[string]Answer
	sends   map[string]*sending
	report  *Report
	// reportRevision is the account's revision when the report's poll began.
	reportRevision int64
	reportBegan    time.Time
	polling        bool
	nextPoll       time.Time
	lastHeard      time.Time
	// missing notes settled items that are not reported.
	missing map[placement.Item]missing
	// holds is until when no order goes out for an item whose last one failed.
	holds map[placement.Item]time.Time
}

// missing is since when, and in how many reports, an item was not reported.
type missing struct {
	since   time.Time
	last    time.Time
	reports int
}

// sending is the state of one order on its way.
type sending struct {
	inFlight bool
	next     time.Time
}

// NewBook returns the book of a new leader.
func NewBook(o Options) *Book {
	b := &Book{
		options: o.withDefaults(),
		lines:   make(map[string]*line),
		byKey:   make(map[string]*line),
		acked:   make(map[string]time.Time),
		removed: make(map[placement.Name]time.Time),
	}
	b.index.key = b.options.Prefix + "index"
	return b
}

// SetBudget changes the weight store's limits.
func (b *Book) SetBudget(loadsPerSecond float64, concurrent int) {
	b.options.LoadsPerSecond = loadsPerSecond
	b.options.ConcurrentLoads = concurrent
}

// SetGoal replaces what the book works towards.
func (b *Book) SetGoal(g Goal) {
	b.goal = g
	b.wanted = make(map[wantedKey]struct{}, len(g.Assignments))
	b.planned = make(map[placement.Item]map[string]int)
	b.reduced = make(map[placement.Name]struct{}, len(g.Reduced))
	for _, name := range g.Reduced {
		b.reduced[name] = struct{}{}
	}
	for _, l := range b.lines {
		l.spec = nil
	}
	domains := make(map[string]string, len(g.Engines))
	for i := range g.Engines {
		spec := &g.Engines[i]
		b.line(spec.Name).spec = spec
		domains[spec.Name] = spec.FailureDomain
	}
	for _, a := range g.Assignments {
		b.wanted[wantedKey{a.Engine, a.Item}] = struct{}{}
		if b.planned[a.Item] == nil {
			b.planned[a.Item] = make(map[string]int)
		}
		b.planned[a.Item][domains[a.Engine]]++
	}
}

func (b *Book) line(name string) *line {
	l, known := b.lines[name]
	if known {
		return l
	}
	l = &line{name: name, answers: make(map[string]Answer), sends: make(map[string]*sending)}
	l.missing = make(map[placement.Item]missing)
	l.holds = make(map[placement.Item]time.Time)
	l.key = b.options.Prefix + "engines/" + name
	b.lines[name] = l
	b.byKey[l.key] = l
	at, _ := slices.BinarySearch(b.names, name)
	b.names = slices.Insert(b.names, at, name)
	return l
}

// Deposed says that a later leader's mark was found. The book does nothing more.
func (b *Book) Deposed() bool { return b.deposed }

// InControl says whether every account carries this leader's fencing number.
func (b *Book) InControl() bool { return b.ready && !b.deposed }

// ReadDone takes in the result of a Read. With ok false nothing was learned.
func (b *Book) ReadDone(key string, s Stored, ok bool) {
	if r := b.register(key); r != nil {
		r.readDone(s, ok)
		b.refresh(key)
	}
}

// Written takes in the result of a Write. Current is the value that stood in
// the way, where known.
func (b *Book) Written(key string, outcome WriteOutcome, revision int64, current *Stored) {
	if r := b.register(key); r != nil {
		if b.faults.forgetUnknownWrite && outcome == OutcomeUnknown {
			outcome, revision = TookEffect, r.revision+1
		}
		r.written(outcome, revision, current)
		b.refresh(key)
	}
}

func (b *Book) register(key string) *register {
	if key == b.index.key {
		return &b.index
	}
	if l, known := b.byKey[key]; known {
		return &l.register
	}
	return nil
}

// refresh decodes a value that is known for certain.
func (b *Book) refresh(key string) {
	if key == b.index.key {
		b.refreshIndex()
		return
	}
	if l := b.byKey[key]; l.idle() {
		b.refreshLine(l)
	}
}

func (b *Book) refreshIndex() {
	if !b.index.idle() || len(b.index.value) == 0 {
		return
	}
	index, err := DecodeIndex(b.index.value)
	if err != nil || index.Fence > b.options.Fence {
		// Nothing is decided on an index that cannot be read.
		b.deposed = true
		return
	}
	b.listed = index
	for _, name := range index.Engines {
		b.line(name).listed = index.Fence == b.options.Fence
	}
}

func (b *Book) refreshLine(l *line) {
	if len(l.value) == 0 {
		return
	}
	account, err := DecodeAccount(l.value)
	if err != nil || account.Fence > b.options.Fence {
		b.deposed = true
		return
	}
	l.account = account
	l.owned = account.Fence == b.options.Fence
	l.forgetSettled()
}

// forgetSettled drops what is kept about orders that the account no longer has.
func (l *line) forgetSettled() {
	unsettled := make(map[string]struct{})
	for _, e := range l.account.Entries {
		unsettled[e.Load] = struct{}{}
		unsettled[e.Unload] = struct{}{}
	}
	for id := range l.answers {
		if _, ok := unsettled[id]; !ok {
			delete(l.answers, id)
		}
	}
	for id := range l.sends {
		if _, ok := unsettled[id]; !ok {
			delete(l.sends, id)
		}
	}
}

// Reported takes in the result of a Poll. With ok false there was no answer.
func (b *Book) Reported(p Poll, r Report, ok bool, now time.Time) {
	l, known := b.lines[p.Engine]
	if !known {
		return
	}
	l.polling = false
	l.nextPoll = now.Add(b.options.PollEvery)
	if !ok || p.Began.Before(l.reportBegan) {
		return
	}
	l.report = &r
	l.reportBegan = p.Began
	l.reportRevision = p.Revision
	l.lastHeard = now
}

// Answered takes in an engine's answer to a Send.
func (b *Book) Answered(s Send, answer Answer, now time.Time) {
	l, known := b.lines[s.Engine]
	if !known {
		return
	}
	b.sent(l, s.Order.ID, now)
	if s.Order.Kind == Load {
		if _, before := b.acked[s.Order.ID]; !before {
			b.acked[s.Order.ID] = now
		}
	}
	if answer != Running && s.Incarnation == l.account.Incarnation {
		l.answers[s.Order.ID] = answer
	}
}

// Unanswered notes that a Send brought no answer, or was not sent because the
// engine is in another incarnation.
func (b *Book) Unanswered(s Send, now time.Time) {
	if l, known := b.lines[s.Engine]; known {
		b.sent(l, s.Order.ID, now)
	}
}

func (b *Book) sent(l *line, id string, now time.Time) {
	if s, known := l.sends[id]; known {
		s.inFlight = false
		s.next = now.Add(b.options.RepeatAfter)
	}
}

// unique returns a string that no other writer ever uses.
func (b *Book) unique() string {
	b.sequence++
	return fmt.Sprintf("%d-%d", b.options.Fence, b.sequence)
}
