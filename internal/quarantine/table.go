package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxEnds is the number of upstreams that may end under a request before it is not sent any more.
	MaxEnds = 3
	// Duration is how long a request is not sent after the last end under it: time for operators to mend or
	// replace the upstreams' software.
	Duration = 10 * time.Minute
	// suspicionTime is how long fewer ends are remembered. Callers repeat a request within its deadline, which is
	// well below.
	suspicionTime = time.Minute
	// breakTime is how long a broken exchange is remembered: an upstream that has ended without closing its listener
	// loses its entry, or gets a new one, within some heartbeats.
	breakTime = 15 * time.Second
	// maxRequests bounds the number of requests that are remembered, and that of broken exchanges.
	maxRequests = 4096
)

// Key identifies a request by a hash of its contents, or a part of prompts by a hash of its ID and its service.
type Key uint64

// Record is what is known of one request, or of one part of prompts.
type Record struct {
	Key Key
	// Depth is the last place, counted from 1, at which the part has stood in a prompt; 0 for a request.
	Depth int
	// Ends holds the incarnations of upstreams that ended under the request, with the time of each end.
	Ends map[string]time.Time
	// Answered is when an upstream last answered the request, zero if none has since the first end.
	Answered time.Time
	// sound is set if this VM knows that the request was answered in the time before the first end.
	sound bool
}

// Table holds the requests under which upstreams have ended. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[Key]*Record
	// broken holds the exchanges that broke without evidence that their upstream has ended.
	broken map[brokenExchange]time.Time
	// gone holds when the entries of upstreams disappeared that were not draining.
	gone map[string]time.Time
	// alive holds, for each incarnation that is recorded as ended or whose exchange broke, when the last request was
	// written that it has answered to this VM, zero if it has not since.
	alive map[string]time.Time
	// suspects are the records with several ends as of suspectsAt.
	suspects   []Record
	suspectsAt time.Time
	// quarantined holds the parts that must not be sent any more, as of judgedAt; changed is set if ends or answers were
	// recorded since.
	quarantined map[Key]*Record
	judgedAt    time.Time
	changed     bool
	sound       recentKeys
	// endedUnder is under how many requests each incarnation ended.
	endedUnder map[string]int
	// served are the requests that were answered lately.
	served recentKeys
	// trials holds the trials of quarantined parts, and of suspected requests.
	trials map[Key]trial
	// vm is a hash of this VM's name.
	vm uint64
	// expiredAt is when old records were last looked for.
	expiredAt time.Time
	// inUse is set while there is anything to remember, so that other requests need no hash.
	inUse atomic.Bool
}

type brokenExchange struct {
	// suspect is the request, or a part of its prompt.
	suspect     Part
	incarnation string
}

// NewTable returns an empty table of the VM with the given name.
func NewTable(vm string) *Table {
	return &Table{
		records: make(map[Key]*Record), broken: make(map[brokenExchange]time.Time),
		gone: make(map[string]time.Time), alive: make(map[string]time.Time),
		sound: recentKeys{lifetime: soundTime}, served: recentKeys{lifetime: servedTime},
		endedUnder: make(map[string]int), trials: make(map[Key]trial), vm: xxhash.Sum64String(vm),
	}
}

// InUse reports whether the table holds anything.
func (t *Table) InUse() bool { return t.inUse.Load() }

// RecordEnd records that an incarnation of an upstream ended while it had a request whose answer had not begun if parts of
// its prompt are given. It returns the requests and parts under which it did, as far as that is news: also those of other
// exchanges with it that broke lately.
func (t *Table) RecordEnd(q Key, incarnation string, now time.Time, parts ...Part) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordEnds(q, parts, incarnation, now)
}

// RecordBreak records that an exchange broke without an answer, or without an event if parts of its prompt are given. If its
// upstream is known to have ended, by other requests, that is an end, and RecordBreak returns what RecordEnd would.
func (t *Table) RecordBreak(q Key, incarnation string, now time.Time, parts ...Part) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	goneAt, gone := t.gone[incarnation]
	if t.hasEnded(incarnation) || (gone && now.Sub(goneAt) < breakTime) {
		return t.recordEnds(q, parts, incarnation, now)
	}
	for _, suspect := range append([]Part{{Key: q}}, parts...) {
		t.broken[brokenExchange{suspect, incarnation}] = now
	}
	t.mention(incarnation)
	t.expire(now)
	return nil
}

func (t *Table) recordEnds(q Key, parts []Part, incarnation string, now time.Time) []Key {
	t.recordEnd(Part{Key: q}, incarnation, now)
	delete(t.broken, brokenExchange{Part{Key: q}, incarnation})
	news := []Key{q}
	for _, part := range parts {
		if t.recordEnd(part, incarnation, now) {
			news = append(news, part.Key)
		}
		delete(t.broken, brokenExchange{part, incarnation})
	}
	t.expire(now)
	return append(t.recordGone(incarnation, now), news...)
}

// hasEnded reports whether an incarnation has ended under any request.
func (t *Table) hasEnded(incarnation string) bool {
	if _, mentioned := t.alive[incarnation]; !mentioned {
		return false
	}
	for _, r := range t.records {
		if at, ended := r.Ends[incarnation]; ended && !t.aliveAfter(incarnation, at) {
			return true
		}
	}
	return false
}

// RecordGone records that an incarnation is known to have ended, and returns the requests under which it did: those
// whose exchanges with it broke lately.
func (t *Table) RecordGone(incarnation string, now time.Time) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone[incarnation] = now
	t.expire(now)
	out := t.recordGone(incarnation, now)
	t.confirmEnds(incarnation, now)
	return out
}

// confirmEnds makes the recent ends of an incarnation whose entry is gone count for good: what has answered since then was
// its successor under the same ID and address. Earlier ends that an answer has disproved are dropped.
func (t *Table) confirmEnds(incarnation string, now time.Time) {
	if _, mentioned := t.alive[incarnation]; !mentioned {
		return
	}
	for _, r := range t.records {
		if at, ended := r.Ends[incarnation]; ended && now.Sub(at) >= breakTime && t.aliveAfter(incarnation, at) {
			delete(r.Ends, incarnation)
		}
	}
	t.alive[incarnation], t.changed = time.Time{}, true
}

func (t *Table) recordGone(incarnation string, now time.Time) []Key {
	var out []Key
	for b, at := range t.broken {
		if b.incarnation != incarnation {
			continue
		}
		delete(t.broken, b)
		if now.Sub(at) < breakTime && !t.aliveAfter(incarnation, at) {
			t.recordEnd(b.suspect, incarnation, at)
			out = append(out, b.suspect.Key)
		}
	}
	return out
}

// recordEnd records an end and reports whether it is news.
func (t *Table) recordEnd(suspect Part, incarnation string, at time.Time) (news bool) {
	r := t.record(suspect)
	_, known := r.Ends[incarnation]
	if !known {
		t.addEnd(r, incarnation, at)
		t.changed = true
	}
	t.mention(incarnation)
	return !known
}

func (t *Table) addEnd(r *Record, incarnation string, at time.Time) {
	r.Ends[incarnation] = at
	if r.Depth == 0 {
		t.endedUnder[incarnation]++
	}
}

func (t *Table) record(suspect Part) *Record {
	r := t.records[suspect.Key]
	if r == nil {
		r = &Record{Key: suspect.Key, Ends: make(map[string]time.Time), sound: t.served.has(suspect.Key)}
		t.records[suspect.Key] = r
	}
	r.Depth = max(r.Depth, suspect.Depth)
	return r
}

// RecordAnswer records that an upstream has answered a request completely, and returns how many ends do not count any
// more. The other VMs have to be told of several.
func (t *Table) RecordAnswer(q Key, now time.Time) (cleared int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.add(q, now)
	if cleared = t.recordAnswer(q, now); cleared > 0 {
		t.clearSuspicion(t.records[q])
	}
	return cleared
}

func (t *Table) recordAnswer(q Key, now time.Time) (cleared int) {
	r := t.records[q]
	if r == nil {
		return 0
	}
	cleared = t.count(r)
	r.Answered, t.changed = now, true
	return cleared
}

// RecordAlive records that an incarnation has answered a request that was written to it at a time: it has not ended
// before. When the answer is read says nothing, since a VM that lacks processor time reads it late.
func (t *Table) RecordAlive(incarnation string, written time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, gone := t.gone[incarnation]; gone {
		return
	}
	if known, mentioned := t.alive[incarnation]; mentioned && written.After(known) {
		t.alive[incarnation], t.changed = written, true
	}
}

func (t *Table) mention(incarnation string) {
	if _, mentioned := t.alive[incarnation]; !mentioned {
		t.alive[incarnation] = time.Time{}
	}
	t.inUse.Store(true)
}

// aliveAfter reports whether an incarnation has answered a request of this VM that was written after the time at which it
// is said to have ended.
func (t *Table) aliveAfter(incarnation string, at time.Time) bool {
	return t.alive[incarnation].After(at.Add(aliveMargin))
}

// aliveMargin covers the way of a request, and the difference between the times of an end that two VMs tell.
const aliveMargin = 200 * time.Millisecond

// count returns how many upstreams have ended under a request since it was last answered. An incarnation that has
// answered later has not ended: a VM that lost its way to it took it for ended.
func (t *Table) count(r *Record) int {
	if r.Depth > 0 {
		return distinctEnds(t.counting(r, nil))
	}
	n := 0
	for incarnation, at := range r.Ends {
		if t.counts(r, incarnation, at) {
			n++
		}
	}
	return n
}

// counts reports whether the end of an incarnation at a time counts.
func (t *Table) counts(r *Record, incarnation string, at time.Time) bool {
	return at.After(r.Answered) && !t.aliveAfter(incarnation, at)
}

// Ends returns how many upstreams have ended under a request since it was last answered.
func (t *Table) Ends(q Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[q]; r != nil {
		return t.count(r)
	}
	return 0
}

// Quarantined reports whether a request must not be sent any more, and for how long. A request that is only suspected is not.
func (t *Table) Quarantined(q Key, now time.Time) (left time.Duration, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[q]
	if r == nil || t.count(r) < MaxEnds || t.mayHaveCommonCause(r) {
		return 0, false
	}
	left = r.timeLeft(now)
	return left, left > 0
}

// timeLeft returns for how long a quarantine that rests on the record lasts.
func (r *Record) timeLeft(now time.Time) time.Duration { return r.lastEnd().Add(Duration).Sub(now) }

func (r *Record) lastEnd() time.Time {
	last := time.Time{}
	for _, at := range r.Ends {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// Get returns copies of the records of some requests.
func (t *Table) Get(requests []Key) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, q := range requests {
		if r := t.records[q]; r != nil {
			out = append(out, r.clone())
		}
	}
	return out
}

// Suspects returns the records with several ends, for VMs that may not have been told of them. They must not be modified.
func (t *Table) Suspects(now time.Time) []Record {
	if !t.InUse() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.suspectsAt) < suspectsInterval {
		return t.suspects
	}
	t.expire(now)
	t.suspects, t.suspectsAt = nil, now
	for _, r := range t.records {
		if t.count(r) > 1 {
			t.suspects = append(t.suspects, r.clone())
		}
	}
	return t.suspects
}

// suspectsInterval is the least time between two searches for suspects: a hub makes hundreds of reports a second.
const suspectsInterval = 200 * time.Millisecond

func (r *Record) clone() Record {
	return Record{Key: r.Key, Depth: r.Depth, Ends: maps.Clone(r.Ends), Answered: r.Answered}
}

// Merge adds what another VM knows of a request. It returns the requests of which that was news: this one, and those
// whose exchanges with the same upstreams broke lately. tell reports whether the other VM has to be told what this one
// knows.
func (t *Table) Merge(in Record, now time.Time) (news []Key, tell bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, fresh := t.record(Part{in.Key, in.Depth}), false
	for incarnation, at := range in.Ends {
		if _, known := r.Ends[incarnation]; !known {
			t.addEnd(r, incarnation, at)
			t.mention(incarnation)
			news, fresh = append(news, t.recordGone(incarnation, now)...), true
		}
	}
	if in.Answered.Sub(r.Answered) > answerTolerance {
		r.Answered, fresh = in.Answered, true
		t.clearSuspicion(r)
	}
	if fresh {
		news, t.changed = append(news, in.Key), true
	}
	tell = len(r.Ends) > len(in.Ends) || (len(in.Ends) > 1 && r.Answered.Sub(in.Answered) > answerTolerance)
	t.expire(now)
	return news, tell
}

// answerTolerance is the difference up to which the times of an answer that two VMs tell count as the same: they tell
// ages, which grow on the way.
const answerTolerance = 500 * time.Millisecond
