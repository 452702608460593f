package residency

import (
	"slices"
	"strings"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
)

// This file is the account of what an engine holds and of what still fits there. Nothing else computes free memory: an engine
// that is ordered to load more than it holds crashes.

// usedMB is the memory that an engine's models and adapters occupy without some items and the adapters of those that are
// models, in 10^6 bytes. known is false if the engine holds a model whose size is not known, since the configuration does not
// name it any more: nothing fits beside it.
func usedMB(e *Engine, spec *catalog.EngineSpec, without ...string) (mb float64, known bool) {
	for m := range e.Models {
		if slices.Contains(without, m) {
			continue
		}
		named, ok := spec.Models[m]
		if !ok {
			return 0, false
		}
		mb += named.MemoryMB
	}
	for item := range e.Adapters {
		model, _, _ := strings.Cut(item, "/")
		if slices.Contains(without, model) || slices.Contains(without, item) {
			continue
		}
		named, ok := spec.Models[model]
		if !ok {
			return 0, false
		}
		mb += named.AdapterMB
	}
	return mb, true
}

// FitsModel reports whether a model fits on an engine beside what it holds without some items, with reserveMB left free.
func FitsModel(e *Engine, spec *catalog.EngineSpec, model string, reserveMB float64, without ...string) bool {
	named, ok := spec.Models[model]
	if !ok {
		return false
	}
	used, known := usedMB(e, spec, without...)
	return known && used+named.MemoryMB+reserveMB <= spec.WeightsMB
}

// fitsAdapter reports whether an engine has a place and the memory for one more adapter of a model that it holds, without
// some of its adapters.
func fitsAdapter(e *Engine, spec *catalog.EngineSpec, model string, without ...string) bool {
	named, ok := spec.Models[model]
	if !ok || !e.Models[model] || len(e.Adapters)-len(without) >= spec.AdapterSlots {
		return false
	}
	used, known := usedMB(e, spec, without...)
	return known && used+named.AdapterMB <= spec.WeightsMB
}

// AdapterVictims returns the adapters to unload from an engine before one of a model is loaded there: none if it fits, else the
// least recently used ones that make room, of those that have not been used for minAdapterIdleTime. It returns false if they do
// not make room.
func AdapterVictims(e *Engine, spec *catalog.EngineSpec, model string, now time.Time) (victims []string, ok bool) {
	if fitsAdapter(e, spec, model) {
		return nil, true
	}
	for _, item := range leastRecentlyUsed(e) {
		if now.Sub(e.Adapters[item]) < minAdapterIdleTime {
			return nil, false
		}
		victims = append(victims, item)
		if fitsAdapter(e, spec, model, victims...) {
			return needed(victims, func(some []string) bool { return fitsAdapter(e, spec, model, some...) }), true
		}
	}
	return nil, false
}

// needed returns the victims without those that are not needed for enough to hold, the last ones first.
func needed(victims []string, enough func(some []string) bool) []string {
	for at := len(victims) - 1; at >= 0; at-- {
		if fewer := slices.Delete(slices.Clone(victims), at, at+1); enough(fewer) {
			victims = fewer
		}
	}
	return victims
}

// unnamedModels returns the models on an engine that the configuration does not name, in order.
func unnamedModels(e *Engine, spec *catalog.EngineSpec) []string {
	var out []string
	for m := range e.Models {
		if _, named := spec.Models[m]; !named {
			out = append(out, m)
		}
	}
	slices.Sort(out)
	return out
}
