package residency

import (
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
	// Evict is the adapter to unload first, as "model/adapter", or "" if none.
	Evict string
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
// backlog among those with a free slot and the memory for it, else the one whose least recently
// used adapter was used longest ago, at least minAdapterIdleTime. Cold engines are not chosen: the
// caller that waits for the adapter could not be sent there. It returns false if no engine can load
// the adapter now.
func PlaceAdapter(engines []Engine, spec *catalog.EngineSpec, model string, now time.Time) (AdapterMove, bool) {
	var best AdapterMove
	bestFree, bestBacklog, found := false, 0, false
	var bestVictimUsed time.Time
	for _, e := range engines {
		if !e.Usable || e.Cold || e.Busy || !e.Models[model] {
			continue
		}
		if fitsAdapter(e, spec, model) {
			if !bestFree || e.PrefillBacklog < bestBacklog {
				best, bestFree, bestBacklog, found = AdapterMove{Engine: e.ID}, true, e.PrefillBacklog, true
			}
			continue
		}
		if bestFree {
			continue
		}
		victim, used := leastRecentlyUsed(e)
		if victim == "" || now.Sub(used) < minAdapterIdleTime {
			continue
		}
		if !found || used.Before(bestVictimUsed) {
			best, bestVictimUsed, found = AdapterMove{Engine: e.ID, Evict: victim}, used, true
		}
	}
	return best, found
}

// fitsAdapter reports whether an engine has a slot and the memory for one more adapter of the
// model. An engine crashes if it is ordered to load more than fits in its memory.
func fitsAdapter(e Engine, spec *catalog.EngineSpec, model string) bool {
	if len(e.Adapters) >= spec.AdapterSlots {
		return false
	}
	return UsedMB(e, spec)+spec.Models[model].AdapterMB <= spec.WeightsMB
}

// UsedMB is the memory that an engine's models and adapters occupy, in 10^6 bytes.
func UsedMB(e Engine, spec *catalog.EngineSpec) float64 { return usedMBWithout(e, spec, "") }

// usedMBWithout is UsedMB without one model and its adapters.
func usedMBWithout(e Engine, spec *catalog.EngineSpec, evicted string) float64 {
	sum := 0.0
	for m := range e.Models {
		if m != evicted {
			sum += spec.Models[m].MemoryMB
		}
	}
	for item := range e.Adapters {
		if model, _, _ := strings.Cut(item, "/"); model != evicted {
			sum += spec.Models[model].AdapterMB
		}
	}
	return sum
}

func leastRecentlyUsed(e Engine) (string, time.Time) {
	victim := ""
	var oldest time.Time
	for item, used := range e.Adapters {
		if victim == "" || used.Before(oldest) || (used.Equal(oldest) && item < victim) {
			victim, oldest = item, used
		}
	}
	return victim, oldest
}
