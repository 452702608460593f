package admit

import "time"

const (
	// drainWindow is the minimum length of the window for one sample of the drain
	// rate.
	drainWindow = 250 * time.Millisecond
	// drainMaxWindow is the length beyond which a window is discarded, because there
	// was nothing to dispatch for part of it.
	drainMaxWindow = 4 * drainWindow
	// drainSmoothing is the weight of the old rate when a new sample is averaged in.
	drainSmoothing = 0.7
	// minRetryAfter and maxRetryAfter bound Refusal.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// drainEstimator estimates how many tokens per second the pool accepts while there is
// a backlog.
type drainEstimator struct {
	rate             float64
	windowStart      time.Time
	windowTokens     int64
	windowBacklogged bool
}

// recordDispatch records a dispatch. backlog means that other requests are still
// queued. A window in which the queue ran empty measures the arrival rate rather than
// the pool's capacity, so it may only raise the estimate.
func (d *drainEstimator) recordDispatch(tokens int64, backlog bool, now time.Time) {
	if d.windowStart.IsZero() {
		d.windowStart, d.windowBacklogged = now, true
	}
	d.windowTokens += tokens
	d.windowBacklogged = d.windowBacklogged && backlog
	elapsed := now.Sub(d.windowStart)
	if elapsed < drainWindow {
		return
	}
	if elapsed > drainMaxWindow {
		d.windowStart, d.windowTokens, d.windowBacklogged = now, 0, true
		return
	}
	sample := float64(d.windowTokens) / elapsed.Seconds()
	switch {
	case d.rate == 0 && d.windowBacklogged:
		d.rate = sample
	case d.windowBacklogged:
		d.rate = drainSmoothing*d.rate + (1-drainSmoothing)*sample
	case d.rate > 0:
		d.rate = max(d.rate, sample)
	}
	d.windowStart, d.windowTokens, d.windowBacklogged = now, 0, true
}

// estimateWait estimates how long a request of a team would wait in the queue: the
// time to drain the team's tokens ahead of it at the team's share of the drain rate,
// but no longer than the time to drain the whole queue. It is 0 until a drain rate has
// been measured.
func (q *Queue) estimateWait(t *team, r *Request) time.Duration {
	if q.drain.rate == 0 || q.count == 0 {
		return 0
	}
	weights := t.weight
	for _, other := range q.sortedTeams {
		if other != t && other.count > 0 {
			weights += other.weight
		}
	}
	own := float64(t.tokensAhead(r)) / (q.drain.rate * t.weight / weights)
	all := float64(q.tokens) / q.drain.rate
	return time.Duration(min(own, all) * float64(time.Second))
}

// tokensAhead returns the tokens of the team's requests that are served before r.
func (t *team) tokensAhead(r *Request) int64 {
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

// newRefusal returns a refusal. Its RetryAfter estimates when the present backlog will
// have drained far enough for the same request to meet its deadline.
func (q *Queue) newRefusal(r Request, cause error, now time.Time) *Refusal {
	wait := q.estimateWait(q.team(r.Team), &r)
	if cause == ErrDeadline {
		wait -= max(0, r.Deadline.Sub(now)-r.MinRunTime)
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return &Refusal{Request: r, Cause: cause, RetryAfter: wait}
}
