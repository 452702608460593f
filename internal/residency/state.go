package residency

import "time"

// Engine is the state of one engine as the planner knows it.
type Engine struct {
	ID string
	// Version is the version of the engine's software.
	Version string
	// Models holds the models that are loaded and usable.
	Models map[string]bool
	// Adapters holds the time of the last use of each loaded adapter, by "model/adapter".
	Adapters map[string]time.Time
	// Loading is the model that is being loaded, "" if none.
	Loading string
	// Busy reports that the engine accepts no orders about models.
	Busy bool
	// Usable reports that the engine is neither draining nor silent.
	Usable bool
	// Cold reports that the engine has just started and gets few requests for now.
	Cold bool
	// RateLimited reports that the engine names a rate limit. Occupied is the part of its time that it
	// does not give to requests because of that, between 0 and 1.
	RateLimited bool
	Occupied    float64
	// PrefillBacklog is the number of prompt tokens that await prefill.
	PrefillBacklog int
	// DelayedLoad is a model whose load waits for an unload that takes too long, "" if none.
	DelayedLoad string
	// InFlight is the known number of requests in flight, by model.
	InFlight map[string]int
	// index is the engine's place in the plan.
	index int
	// LocalWeights holds the models that the engine can load without the weight store.
	LocalWeights map[string]bool
}

// Item returns the name of a model, "model", or of one of its adapters, "model/adapter".
func Item(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
