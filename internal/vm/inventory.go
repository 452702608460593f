package vm

import "time"

const (
	// inventoryQuietTime is the time after the last engine was found from which the inventory
	// counts as complete, maxInventoryTime the longest wait for that. Engines that start
	// together appear in the store within one heartbeat, about a second.
	inventoryQuietTime = 1300 * time.Millisecond
	maxInventoryTime   = 4 * time.Second
	// demandWarmup is how long requests must have been observed before they show which models
	// are in demand.
	demandWarmup = 3 * time.Second
	// minWideCopies is the number of engines on which a model must be found at startup for this
	// VM to assume that it was placed on them because of the demand for it.
	minWideCopies = 3
	// assumedDemandPerCopy is the fraction of an engine's time that each copy of such a model
	// is assumed to need.
	assumedDemandPerCopy = 0.15
)

// startupInventory is what this VM found on the engines before it learned of any request. The
// platform, or the previous leader, placed the busy models on many engines. A plan made from the
// first few engines would load models that only appear to be missing, in place of copies that
// are about to be busy.
type startupInventory struct {
	// copies counts the engines on which a model was found, by model.
	copies map[string]int
	// firstFoundAt and lastFoundAt are when the first and the last engine was found,
	// firstRequestAt is when this VM learned of the first request.
	firstFoundAt, lastFoundAt, firstRequestAt time.Time
}

// recordFound records an engine whose state was read. The models that a previous leader left on it were
// requested recently, so they count as used now unless this VM has observed requests for longer
// than modelIdleTime itself. Otherwise, after a restart of all VMs, dozens of models without
// requests since the restart would be evicted. It must be called with the lock held.
func (l *planner) recordFound(state *engineState, hasPredecessor bool, now time.Time) {
	f := &l.startup
	if hasPredecessor && !f.observedRequestsFor(modelIdleTime, now) {
		for m := range state.models {
			l.lastUsed[m] = now
		}
	}
	if !f.firstRequestAt.IsZero() {
		return
	}
	if f.firstFoundAt.IsZero() {
		f.firstFoundAt = now
	}
	f.lastFoundAt = now
	for m := range state.models {
		f.copies[m]++
	}
}

func (f *startupInventory) recordRequest(now time.Time) {
	if f.firstRequestAt.IsZero() {
		f.firstRequestAt = now
	}
}

// incomplete reports whether more engines are likely to be found soon. It is false before the
// first engine is found, and once a request has been observed.
func (f *startupInventory) incomplete(now time.Time) bool {
	return f.firstRequestAt.IsZero() && now.Sub(f.lastFoundAt) < inventoryQuietTime && now.Sub(f.firstFoundAt) < maxInventoryTime
}

// observedRequestsFor reports whether the first request was observed more than d ago.
func (f *startupInventory) observedRequestsFor(d time.Duration, now time.Time) bool {
	return !f.firstRequestAt.IsZero() && now.Sub(f.firstRequestAt) > d
}

// demandKnown reports whether requests have been observed for long enough to show which models
// are in demand.
func (f *startupInventory) demandKnown(now time.Time) bool {
	return f.observedRequestsFor(demandWarmup, now)
}

// widelyPlaced reports whether a model was found on at least minWideCopies engines.
func (f *startupInventory) widelyPlaced(model string) bool { return f.copies[model] >= minWideCopies }

// assumedDemand is the assumed demand for a model, in engine time per second, until demandKnown.
func (f *startupInventory) assumedDemand(model string, now time.Time) float64 {
	if f.demandKnown(now) || !f.widelyPlaced(model) {
		return 0
	}
	return assumedDemandPerCopy * float64(f.copies[model])
}
