package admit

import (
	"slices"
	"strings"
	"time"
)

// Options configures a Queue. The zero value takes every default.
type Options struct {
	// MaxRequests bounds the queued requests. The default is 1024.
	MaxRequests int
	// MaxBytes bounds the memory that they hold. The default is 64 MiB.
	MaxBytes int64
	// MaxLead bounds how many tokens, for a weight of 1, a team can be behind
	// the others in this queue because other VMs have served it. The default is
	// 20000.
	MaxLead float64
	// FirstComeFirstServed replaces the order by that of arrival. It is what the
	// order is measured against.
	FirstComeFirstServed bool
}

// The defaults of Options.
const (
	DefaultMaxRequests = 1024
	DefaultMaxBytes    = 64 << 20
	DefaultMaxLead     = 20000
)

// Queue orders the requests for one pool of upstreams. It belongs to one
// goroutine.
type Queue struct {
	options Options
	teams   map[string]*team
	// order holds the teams by name, so that equal histories give equal choices.
	order  []*team
	clock  float64
	count  int
	bytes  int64
	tokens int64
	seq    uint64
	drain  drain
	faults faults
}

// faults are planted by tests, to show that their oracles find them.
type faults struct {
	// keepCredit lets a team save up its share while it has nothing queued.
	keepCredit bool
	// ignoreDeadlines serves a team in order of arrival.
	ignoreDeadlines bool
	// runLate forgets to give up on what cannot be done in time any more.
	runLate bool
	// refuseArrivals refuses whoever finds the queue full.
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

// SetWeight sets a team's share. A weight below 1 counts as 1.
func (q *Queue) SetWeight(name string, weight int64) {
	q.team(name).weight = float64(max(1, weight))
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.count }

// Bytes returns the memory that the queued requests hold.
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
	at, _ := slices.BinarySearchFunc(q.order, name, func(t *team, n string) int {
		return strings.Compare(t.name, n)
	})
	q.order = slices.Insert(q.order, at, t)
	return t
}

// Offer queues a request. It returns the requests that had to make room for it,
// and a *Refusal if the request itself is given up on. Each of them is final.
func (q *Queue) Offer(r Request, now time.Time) ([]*Refusal, error) {
	t := q.team(r.Team)
	wait := q.wait(t, &r)
	if r.late(now) || r.late(now.Add(wait)) {
		return nil, q.refuse(r, ErrDeadline, now)
	}
	if r.Bytes > q.options.MaxBytes {
		return nil, q.refuse(r, ErrFull, now)
	}
	var evicted []*Refusal
	for q.full(r) {
		victim := q.largest(t)
		if victim == nil || victim == t {
			return evicted, q.refuse(r, ErrFull, now)
		}
		last := victim.last()
		q.drop(victim, last)
		evicted = append(evicted, q.refuse(last.Request, ErrFull, now))
	}
	q.push(t, r)
	return evicted, nil
}

func (q *Queue) full(r Request) bool {
	return q.count+1 > q.options.MaxRequests || q.bytes+r.Bytes > q.options.MaxBytes
}

// largest returns the team that holds the most for its weight, if the arrival's
// team counts one more, or nil if nothing is queued. A queue that is full of one
// team's requests would otherwise refuse everybody else's.
func (q *Queue) largest(arrival *team) *team {
	if q.faults.refuseArrivals {
		return arrival
	}
	var most *team
	share := 0.0
	for _, t := range q.order {
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

// push adds a request, and lets its team join at the present virtual time.
func (q *Queue) push(t *team, r Request) {
	if t.count == 0 {
		q.join(t)
	}
	q.seq++
	t.add(&entry{Request: r, seq: q.seq})
	q.count++
	q.bytes += r.Bytes
	q.tokens += r.Tokens
}

// join places a team that had nothing queued. A team that was idle must not come
// back with its whole unused share saved up: it would hold up all the others for
// as long as it was away.
func (q *Queue) join(t *team) {
	if !q.faults.keepCredit {
		t.virtual = max(t.virtual, q.clock)
	}
	t.virtual = min(t.virtual, q.clock+q.options.MaxLead/t.weight)
}

func (q *Queue) fifo() bool {
	return q.options.FirstComeFirstServed || q.faults.ignoreDeadlines
}

// drop takes a request out of the queue.
func (q *Queue) drop(t *team, e *entry) {
	t.remove(e)
	q.count--
	q.bytes -= e.Bytes
	q.tokens -= e.Tokens
}

// Remove takes a request out, because its caller has gone or its key was
// withdrawn. It reports whether the request was queued.
func (q *Queue) Remove(name string, id uint64) bool {
	t := q.teams[name]
	if t == nil {
		return false
	}
	e := t.find(id)
	if e == nil {
		return false
	}
	q.drop(t, e)
	return true
}

// Expire removes and returns the requests that cannot be done in time any more.
func (q *Queue) Expire(now time.Time) []*Refusal {
	if q.faults.runLate {
		return nil
	}
	var out []*Refusal
	for _, t := range q.order {
		for _, e := range t.late(now) {
			q.drop(t, e)
			out = append(out, q.refuse(e.Request, ErrDeadline, now))
		}
	}
	return out
}

// Next takes the request that is to be dispatched now out of the queue. Only
// classes for which canRun is true are looked at. The caller has called Expire
// with the same time before, so that nothing is dispatched that cannot be done in
// time.
func (q *Queue) Next(now time.Time, canRun func(class string) bool) (Request, bool) {
	t, e := q.first(canRun)
	if e == nil {
		return Request{}, false
	}
	q.clock = max(q.clock, t.virtual)
	q.drop(t, e)
	t.virtual += float64(e.Tokens) / t.weight
	q.drain.dispatched(e.Tokens, q.count > 0, now)
	return e.Request, true
}

// first finds the team with the least virtual time that has something to run.
func (q *Queue) first(canRun func(class string) bool) (*team, *entry) {
	var best *team
	var head *entry
	for _, t := range q.order {
		if t.count == 0 || best != nil && !q.before(t, best) {
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

func (q *Queue) before(t, best *team) bool {
	return q.options.FirstComeFirstServed || t.virtual < best.virtual
}

// Served corrects a team's account once a request's true cost is known: delta is
// the true cost less the expected one.
func (q *Queue) Served(name string, delta int64) {
	t := q.team(name)
	t.virtual = max(0, t.virtual+float64(delta)/t.weight)
}

// ServedElsewhere adds the tokens that other VMs have served since the last
// call, so that a team's share holds over all of them.
func (q *Queue) ServedElsewhere(tokens map[string]int64) {
	for name, n := range tokens {
		t := q.team(name)
		t.virtual += float64(n) / t.weight
	}
	q.advance()
	for _, t := range q.order {
		if t.count > 0 {
			t.virtual = min(t.virtual, q.clock+q.options.MaxLead/t.weight)
		}
	}
}

// advance moves the virtual time up to the least of the teams that wait.
func (q *Queue) advance() {
	least := -1.0
	for _, t := range q.order {
		if t.count > 0 && (least < 0 || t.virtual < least) {
			least = t.virtual
		}
	}
	q.clock = max(q.clock, least)
}
