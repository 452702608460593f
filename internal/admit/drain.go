package admit

import "time"

const (
	// drainWindow is the time over which one sample of the drain rate is taken.
	drainWindow = 250 * time.Millisecond
	// drainStale is the length beyond which a window is thrown away: nothing was
	// there to dispatch for a part of it.
	drainStale = 4 * drainWindow
	// drainKept is how much of the old rate a new sample leaves.
	drainKept = 0.7
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// drain measures how many tokens a second the pool takes while requests wait.
type drain struct {
	rate    float64
	started time.Time
	tokens  int64
	backlog bool
}

// dispatched notes a dispatch. Backlog means that others still wait. A window in
// which the queue ran empty shows how much came, not how much the pool can take,
// so it may only raise the rate.
func (d *drain) dispatched(tokens int64, backlog bool, now time.Time) {
	if d.started.IsZero() {
		d.started, d.backlog = now, true
	}
	d.tokens += tokens
	d.backlog = d.backlog && backlog
	elapsed := now.Sub(d.started)
	if elapsed < drainWindow {
		return
	}
	if elapsed > drainStale {
		d.started, d.tokens, d.backlog = now, 0, true
		return
	}
	sample := float64(d.tokens) / elapsed.Seconds()
	switch {
	case d.rate == 0 && d.backlog:
		d.rate = sample
	case d.backlog:
		d.rate = drainKept*d.rate + (1-drainKept)*sample
	case d.rate > 0:
		d.rate = max(d.rate, sample)
	}
	d.started, d.tokens, d.backlog = now, 0, true
}

// wait estimates how long a request of a team would wait: the tokens that go
// before it inside the team, at the team's share of the drain rate, and never
// longer than everything that is queued takes. It is 0 as long as no rate is
// known.
func (q *Queue) wait(t *team, r *Request) time.Duration {
	if q.drain.rate == 0 || q.count == 0 {
		return 0
	}
	weights := t.weight
	for _, other := range q.order {
		if other != t && other.count > 0 {
			weights += other.weight
		}
	}
	own := float64(t.ahead(r)) / (q.drain.rate * t.weight / weights)
	all := float64(q.tokens) / q.drain.rate
	return time.Duration(min(own, all) * float64(time.Second))
}

// ahead returns the tokens of the team's requests that are served before r.
func (t *team) ahead(r *Request) int64 {
	var sum int64
	for _, c := range t.classes {
		for _, e := range c.entries {
			if c.fifo || !e.Deadline.After(r.Deadline) {
				sum += e.Tokens
			}
		}
	}
	return sum
}

// refuse makes a refusal that says when another try has a chance: once what is
// queued now has drained so far that the same request would be in time.
func (q *Queue) refuse(r Request, cause error, now time.Time) *Refusal {
	wait := q.wait(q.team(r.Team), &r)
	if cause == ErrDeadline {
		wait -= max(0, r.Deadline.Sub(now)-r.Run)
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{Request: r, Cause: cause, RetryAfter: wait}
}
