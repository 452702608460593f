package admit

import (
	"slices"
	"strings"
	"time"
)

// Options configures a Queue. Zero fields take their defaults.
type Options struct {
	// MaxRequests bounds the number of queued requests. The default is 1024.
	MaxRequests int
	// MaxBytes bounds the memory that queued requests hold, in bytes. The default
	// is 64 MiB.
	MaxBytes int64
	// MaxLead bounds how far a team's virtual time can be ahead of the queue's, in
	// tokens for a weight of 1; the bound is divided by the team's weight. A team
	// gets ahead, and then has to wait for the others in this queue, because other
	// VMs have served it. The default is 20000.
	MaxLead float64
	// FirstComeFirstServed orders requests by arrival instead. It is the baseline
	// for measurements of the default order.
	FirstComeFirstServed bool
}

// Default values of Options.
const (
	DefaultMaxRequests = 1024
	DefaultMaxBytes    = 64 << 20
	DefaultMaxLead     = 20000
)

// Queue orders the requests for one pool of upstreams by weighted fair queuing: each
// team has a virtual time, which advances by the tokens served divided by the team's
// weight, and the team with the least virtual time is served next. It is not safe for
// concurrent use.
type Queue struct {
	options Options
	teams   map[string]*team
	// sortedTeams holds the teams in order of their names, so that equal inputs give
	// equal dispatch orders.
	sortedTeams []*team
	virtualTime float64
	count       int
	bytes       int64
	tokens      int64
	lastSeq     uint64
	drain       drainEstimator
	faults      faults
}

// faults are injected by tests, to show that their oracles detect them.
type faults struct {
	// keepCredit lets a team accumulate unused share while it has nothing queued.
	keepCredit bool
	// ignoreDeadlines serves a team's requests in order of arrival.
	ignoreDeadlines bool
	// runLate does not expire requests that can no longer meet their deadlines.
	runLate bool
	// refuseArrivals refuses every request that arrives at a full queue.
	refuseArrivals bool
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.MaxRequests == 0 {
		o.MaxRequests = DefaultMaxRequests
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.MaxLead == 0 {
		o.MaxLead = DefaultMaxLead
	}
	return &Queue{options: o, teams: make(map[string]*team)}
}

// SetWeight sets a team's weight. A weight below 1 counts as 1.
func (q *Queue) SetWeight(name string, weight int64) {
	q.team(name).weight = float64(max(1, weight))
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.count }

// Bytes returns the memory that the queued requests hold, in bytes.
func (q *Queue) Bytes() int64 { return q.bytes }

// Queued returns the number of a team's queued requests.
func (q *Queue) Queued(name string) int {
	t := q.teams[name]
	if t == nil {
		return 0
	}
	return t.count
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t != nil {
		return t
	}
	t = &team{name: name, weight: 1, fifo: q.fifo(), classes: make(map[string]*class)}
	q.teams[name] = t
	at, _ := slices.BinarySearchFunc(q.sortedTeams, name, func(t *team, n string) int {
		return strings.Compare(t.name, n)
	})
	q.sortedTeams = slices.Insert(q.sortedTeams, at, t)
	return t
}

// Offer queues a request. It returns the queued requests that were evicted to make
// room for it, and a *Refusal if the request itself is not queued. Both outcomes are
// final.
func (q *Queue) Offer(r Request, now time.Time) ([]*Refusal, error) {
	t := q.team(r.Team)
	wait := q.estimateWait(t, &r)
	if r.isLate(now) || r.isLate(now.Add(wait)) {
		return nil, q.newRefusal(r, ErrDeadline, now)
	}
	if r.Bytes > q.options.MaxBytes {
		return nil, q.newRefusal(r, ErrFull, now)
	}
	var evicted []*Refusal
	for q.wouldOverflow(r) {
		victim := q.largestByWeight(t)
		if victim == nil || victim == t {
			return evicted, q.newRefusal(r, ErrFull, now)
		}
		last := victim.last()
		q.dequeue(victim, last)
		evicted = append(evicted, q.newRefusal(last.Request, ErrFull, now))
	}
	q.enqueue(t, r)
	return evicted, nil
}

func (q *Queue) wouldOverflow(r Request) bool {
	return q.count+1 > q.options.MaxRequests || q.bytes+r.Bytes > q.options.MaxBytes
}

// largestByWeight returns the team with the most queued requests relative to its
// weight, counting the arriving request to its team. Ties go to the arrival's team.
// Evicting from this team prevents a queue that is full of one team's requests from
// refusing all other teams.
func (q *Queue) largestByWeight(arrival *team) *team {
	if q.faults.refuseArrivals {
		return arrival
	}
	var most *team
	share := 0.0
	for _, t := range q.sortedTeams {
		held := t.count
		if t == arrival {
			held++
		}
		s := float64(held) / t.weight
		better := s > share || s == share && t == arrival
		if held > 0 && better {
			most, share = t, s
		}
	}
	return most
}

// enqueue adds a request. If its team had none queued, the team is activated first.
func (q *Queue) enqueue(t *team, r Request) {
	if t.count == 0 {
		q.activate(t)
	}
	q.lastSeq++
	t.add(&entry{Request: r, seq: q.lastSeq})
	q.count++
	q.bytes += r.Bytes
	q.tokens += r.Tokens
}

// activate sets the virtual time of a team that had nothing queued. An idle team must
// not return with its unused share accumulated: it would block all other teams for as
// long as it was idle.
func (q *Queue) activate(t *team) {
	if !q.faults.keepCredit {
		t.virtualTime = max(t.virtualTime, q.virtualTime)
	}
	t.virtualTime = min(t.virtualTime, q.virtualTime+q.options.MaxLead/t.weight)
}

func (q *Queue) fifo() bool {
	return q.options.FirstComeFirstServed || q.faults.ignoreDeadlines
}

// dequeue removes a request from the queue.
func (q *Queue) dequeue(t *team, e *entry) {
	t.remove(e)
	q.count--
	q.bytes -= e.Bytes
	q.tokens -= e.Tokens
}

// Remove removes a request from the queue, because its caller has disconnected or its
// key was withdrawn. It reports whether the request was queued.
func (q *Queue) Remove(name string, id uint64) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	e := t.find(id)
	if e == nil {
		return false
	}
	q.dequeue(t, e)
	return true
}

// Expire removes and returns the requests that can no longer meet their deadlines.
func (q *Queue) Expire(now time.Time) []*Refusal {
	if q.faults.runLate {
		return nil
	}
	var expired []*Refusal
	for _, t := range q.sortedTeams {
		for _, e := range t.lateEntries(now) {
			q.dequeue(t, e)
			expired = append(expired, q.newRefusal(e.Request, ErrDeadline, now))
		}
	}
	return expired
}

// Next removes and returns the request to dispatch now. Only classes for which canRun
// returns true are considered. The caller must call Expire with the same time before,
// so that no request is dispatched that cannot meet its deadline.
func (q *Queue) Next(now time.Time, canRun func(class string) bool) (Request, bool) {
	t, e := q.selectNext(canRun)
	if e == nil {
		return Request{}, false
	}
	q.virtualTime = max(q.virtualTime, t.virtualTime)
	q.dequeue(t, e)
	t.virtualTime += float64(e.Tokens) / t.weight
	q.drain.recordDispatch(e.Tokens, q.count > 0, now)
	return e.Request, true
}

// selectNext returns the team with the least virtual time that has a request to run,
// and that request.
func (q *Queue) selectNext(canRun func(class string) bool) (*team, *entry) {
	var best *team
	var head *entry
	for _, t := range q.sortedTeams {
		if t.count == 0 || best != nil && !q.precedes(t, best) {
			continue
		}
		e := t.head(canRun)
		if e == nil {
			continue
		}
		if q.options.FirstComeFirstServed && head != nil && head.seq < e.seq {
			continue
		}
		best, head = t, e
	}
	return best, head
}

func (q *Queue) precedes(t, best *team) bool {
	return q.options.FirstComeFirstServed || t.virtualTime < best.virtualTime
}

// CorrectCost corrects a team's virtual time once the actual cost of a dispatched request
// is known. delta is the actual cost minus the expected cost, in tokens.
func (q *Queue) CorrectCost(name string, delta int64) {
	t := q.team(name)
	t.virtualTime = max(0, t.virtualTime+float64(delta)/t.weight)
}

// ServedElsewhere adds the tokens that other VMs have served per team since the last
// call, so that the weighted shares hold over all VMs.
func (q *Queue) ServedElsewhere(tokens map[string]int64) {
	for name, n := range tokens {
		t := q.team(name)
		t.virtualTime += float64(n) / t.weight
	}
	q.advanceVirtualTime()
	for _, t := range q.sortedTeams {
		if t.count > 0 {
			t.virtualTime = min(t.virtualTime, q.virtualTime+q.options.MaxLead/t.weight)
		}
	}
}

// advanceVirtualTime advances the queue's virtual time to the least virtual time of
// the teams that have requests queued.
func (q *Queue) advanceVirtualTime() {
	least := -1.0
	for _, t := range q.sortedTeams {
		if t.count > 0 && (least < 0 || t.virtualTime < least) {
			least = t.virtualTime
		}
	}
	q.virtualTime = max(q.virtualTime, least)
}
