package residency

import "time"

// Engine is what is known of one engine.
type Engine struct {
	ID string
	// Models is what it holds and can use.
	Models map[string]bool
	// Adapters is what it holds, "model/adapter", with the time of the last use.
	Adapters map[string]time.Time
	// Coming is a model that is being loaded, "" if none.
	Coming string
	// Busy engines take no orders about models.
	Busy bool
	// Usable engines are neither draining nor silent.
	Usable bool
	// Load is the work that waits there, in tokens to be read.
	Load int
	// Waiting is a model whose load waits for an unload that takes too long, "" if none.
	Waiting string
	// Running is how many requests are in flight by model, as far as is known.
	Running map[string]int
	// Quick names the models that it can load without the weight store.
	Quick map[string]bool
}

// Item names a model or one of its adapters.
func Item(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + "/" + adapter
}
