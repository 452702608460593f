package residency

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// minAdapterIdleTime is how long an adapter must be unused before it may be evicted. It is a
// little more than the age of the VMs' reports of use: an adapter whose newest use has not
// been reported yet must not be evicted, since the unload of an adapter in use waits for its
// requests.
const minAdapterIdleTime = 600 * time.Millisecond

// AdapterMove loads an adapter on an engine.
type AdapterMove struct {
	Engine string
	// Evict holds the adapters to unload first, as "model/adapter".
	Evict []string
}

// FindAdapter returns the engine that holds an adapter of a model, or the move that loads it. An engine
// that names a rate limit takes few requests and is considered only if no other one holds the adapter or
// can load it. ok is false if no engine can load the adapter now.
func FindAdapter(engines []Engine, spec *catalog.EngineSpec, model, adapter string, now time.Time) (holder string, move AdapterMove, ok bool) {
	item := Item(model, adapter)
	for _, rateLimited := range []bool{false, true} {
		group := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return e.RateLimited != rateLimited })
		for _, e := range group {
			if _, held := e.Adapters[item]; held && e.Usable && !e.Cold && e.Models[model] {
				return e.ID, AdapterMove{}, true
			}
		}
		if move, ok := PlaceAdapter(group, spec, model, now); ok {
			return "", move, true
		}
	}
	return "", AdapterMove{}, false
}

// PlaceAdapter chooses an engine for an adapter of a model: the one with the smallest prefill
// backlog among those with a free slot and the memory for it, else the one whose adapters that would make room
// were used longest ago, at least minAdapterIdleTime. Cold engines are not chosen: the
// caller that waits for the adapter could not be sent there. It returns false if no engine can load
// the adapter now.
func PlaceAdapter(engines []Engine, spec *catalog.EngineSpec, model string, now time.Time) (AdapterMove, bool) {
	var best AdapterMove
	bestFree, bestBacklog, found := false, 0, false
	var bestVictimUsed time.Time
	for i := range engines {
		e := &engines[i]
		if !e.Usable || e.Cold || e.Busy || !e.Models[model] {
			continue
		}
		victims, ok := AdapterVictims(e, spec, model, now)
		if !ok || (bestFree && len(victims) > 0) {
			continue
		}
		if len(victims) == 0 {
			if !bestFree || e.PrefillBacklog < bestBacklog {
				best, bestFree, bestBacklog, found = AdapterMove{Engine: e.ID}, true, e.PrefillBacklog, true
			}
			continue
		}
		used := e.Adapters[victims[len(victims)-1]]
		if !found || used.Before(bestVictimUsed) {
			best, bestVictimUsed, found = AdapterMove{Engine: e.ID, Evict: victims}, used, true
		}
	}
	return best, found
}

// leastRecentlyUsed returns the adapters of an engine, those first that have not been used for longest.
func leastRecentlyUsed(e *Engine) []string {
	return slices.SortedFunc(maps.Keys(e.Adapters), func(a, b string) int {
		return cmp.Or(e.Adapters[a].Compare(e.Adapters[b]), strings.Compare(a, b))
	})
}
