package route

import "time"

// tracked is what a Router knows of one engine beyond its report.
type tracked struct {
	// hash is the hash of the engine's name.
	hash uint64
	// inFlight is the number of this VM's requests at the engine.
	inFlight int
	// changes are this VM's dispatches (+1) and ends (-1) that the newest
	// report may not show yet, oldest first.
	changes []change
	// since is the sum of the changes.
	since int
	// failures counts failures since the last success.
	failures int
	// ejections counts ejections since the last success.
	ejections int
	// ejectedUntil is when the engine comes back.
	ejectedUntil time.Time
	// reportedAt is the arrival of the report that changes were cut to.
	reportedAt time.Time
}

// change is one dispatch or end.
type change struct {
	at    time.Time
	delta int
}

// maxChanges bounds the changes that are kept for one engine. An engine that
// never reports is unreachable soon and gets no more.
const maxChanges = 4096

func (t *tracked) note(now time.Time, delta int) {
	t.inFlight = max(0, t.inFlight+delta)
	if len(t.changes) >= maxChanges {
		t.drop(maxChanges / 2)
	}
	t.changes = append(t.changes, change{at: now, delta: delta})
	t.since += delta
}

// drop forgets the n oldest changes.
func (t *tracked) drop(n int) {
	for _, c := range t.changes[:n] {
		t.since -= c.delta
	}
	t.changes = append(t.changes[:0], t.changes[n:]...)
}

// settle drops the changes that a report must already show.
func (t *tracked) settle(reportedAt time.Time, lag time.Duration) {
	if !reportedAt.After(t.reportedAt) {
		return
	}
	t.reportedAt = reportedAt
	shown := reportedAt.Add(-lag)
	n := 0
	for n < len(t.changes) && !t.changes[n].at.After(shown) {
		n++
	}
	t.drop(n)
}

// load estimates an engine's requests in flight over all VMs: the last report,
// and what this VM did since, multiplied for the VMs that do likewise. A report
// lags; by itself it would send a whole burst to the engine that was idle a
// moment ago.
func (r *Router) load(e *candidate) float64 {
	t := e.state
	if r.faults.trustReports {
		return float64(e.Running + e.Waiting)
	}
	since := float64(t.since) * r.spread
	estimate := float64(e.Running+e.Waiting) + since
	return max(estimate, float64(t.inFlight))
}

// full reports whether an engine should get no more for now.
func (r *Router) full(e *candidate) bool {
	if r.load(e) >= float64(r.options.MaxInFlight) {
		return true
	}
	if e.Waiting == 0 {
		return false
	}
	since := float64(e.state.since) * r.spread
	return float64(e.Waiting)+since > float64(r.options.MaxWaiting)
}
