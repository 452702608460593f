package residency

import (
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// idleBeforeEviction is how long no request may have used an adapter before it makes
// way for another one: the age of the VMs' reports and a little more, since the unload
// of an adapter in use waits for its requests.
const idleBeforeEviction = 600 * time.Millisecond

// AdapterMove says where an adapter goes and which one makes way, "" if none.
type AdapterMove struct {
	Engine string
	// Evict is "model/adapter".
	Evict string
}

// PlaceAdapter chooses an engine for an adapter of a model: one with a free place
// and the least work, else the one whose adapter was used longest ago. ok is false
// if no engine can take it now.
func PlaceAdapter(engines []Engine, spec *catalog.EngineSpec, model string, now time.Time) (AdapterMove, bool) {
	var best AdapterMove
	bestFree, bestLoad, found := false, 0, false
	var oldest time.Time
	for _, e := range engines {
		if !e.Usable || e.Busy || !e.Models[model] {
			continue
		}
		if fits(e, spec, model) {
			if !bestFree || e.Load < bestLoad {
				best, bestFree, bestLoad, found = AdapterMove{Engine: e.ID}, true, e.Load, true
			}
			continue
		}
		if bestFree {
			continue
		}
		victim, used := leastRecent(e)
		if victim == "" || now.Sub(used) < idleBeforeEviction {
			continue
		}
		if !found || used.Before(oldest) {
			best, oldest, found = AdapterMove{Engine: e.ID, Evict: victim}, used, true
		}
	}
	return best, found
}

// fits reports whether an engine has a place and the memory for one more adapter of
// the model. An engine that is ordered to hold more than it can crashes.
func fits(e Engine, spec *catalog.EngineSpec, model string) bool {
	if len(e.Adapters) >= spec.AdapterSlots {
		return false
	}
	return UsedMB(e, spec)+spec.Models[model].AdapterMB <= spec.WeightsMB
}

// UsedMB is the memory that an engine's models and adapters take, in 10^6 bytes.
func UsedMB(e Engine, spec *catalog.EngineSpec) float64 { return usedWithout(e, spec, "") }

// usedWithout is the same without one model and its adapters.
func usedWithout(e Engine, spec *catalog.EngineSpec, evicted string) float64 {
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

func leastRecent(e Engine) (string, time.Time) {
	victim := ""
	var oldest time.Time
	for item, used := range e.Adapters {
		if victim == "" || used.Before(oldest) || (used.Equal(oldest) && item < victim) {
			victim, oldest = item, used
		}
	}
	return victim, oldest
}
