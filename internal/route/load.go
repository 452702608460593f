package route

import "time"

// engineState is the local state that a Router keeps for one engine in addition to
// the engine's reports.
type engineState struct {
	// hash is the hash of the engine's name.
	hash uint64
	// inFlight is the number of this VM's requests in flight at the engine.
	inFlight int
	// unreported holds this VM's dispatches (+1) and completions (-1) that the
	// newest report may not include yet, oldest first.
	unreported []inFlightChange
	// unreportedSum is the sum of the deltas in unreported.
	unreportedSum int
	// failures counts failures since the last success.
	failures int
	// ejections counts ejections since the last success.
	ejections int
	// ejectedUntil is when the current ejection ends.
	ejectedUntil time.Time
	// reportedAt is the arrival time of the newest report that discardReported
	// has applied.
	reportedAt time.Time
}

// inFlightChange is one dispatch or completion.
type inFlightChange struct {
	at    time.Time
	delta int
}

// maxUnreported limits the changes kept for one engine. An engine that never
// reports soon becomes unreachable and receives no more requests.
const maxUnreported = 4096

func (t *engineState) record(now time.Time, delta int) {
	t.inFlight = max(0, t.inFlight+delta)
	if len(t.unreported) >= maxUnreported {
		t.discardOldest(maxUnreported / 2)
	}
	t.unreported = append(t.unreported, inFlightChange{at: now, delta: delta})
	t.unreportedSum += delta
}

// discardOldest removes the n oldest changes.
func (t *engineState) discardOldest(n int) {
	for _, c := range t.unreported[:n] {
		t.unreportedSum -= c.delta
	}
	t.unreported = append(t.unreported[:0], t.unreported[n:]...)
}

// discardReported removes the changes that a report already includes, because
// they happened at least lag before its arrival.
func (t *engineState) discardReported(reportedAt time.Time, lag time.Duration) {
	if !reportedAt.After(t.reportedAt) {
		return
	}
	t.reportedAt = reportedAt
	reportedUntil := reportedAt.Add(-lag)
	n := 0
	for n < len(t.unreported) && !t.unreported[n].at.After(reportedUntil) {
		n++
	}
	t.discardOldest(n)
}

// load estimates an engine's requests in flight over all VMs: the last report plus
// this VM's changes since then, multiplied by fleetMultiplier to account for the
// other VMs. Reports lag: routing by the report alone would send a whole burst to
// the engine that was idle in its last report.
func (r *Router) load(e *candidate) float64 {
	t := e.state
	if r.faults.trustReports {
		return float64(e.Running + e.Waiting)
	}
	sinceReport := float64(t.unreportedSum) * r.fleetMultiplier
	estimate := float64(e.Running+e.Waiting) + sinceReport
	return max(estimate, float64(t.inFlight))
}

// atCapacity reports whether an engine should receive no more requests for now.
func (r *Router) atCapacity(e *candidate) bool {
	if r.load(e) >= float64(r.options.MaxInFlight) {
		return true
	}
	if e.Waiting == 0 {
		return false
	}
	sinceReport := float64(e.state.unreportedSum) * r.fleetMultiplier
	return float64(e.Waiting)+sinceReport > float64(r.options.MaxWaiting)
}
