package route

import "time"

// Item names what a request asks for: a base model if Adapter is empty.
type Item struct {
	// Model is the base model's name.
	Model string
	// Adapter is the adapter's name, or empty.
	Adapter string
}

// Engine is what is known of one engine.
type Engine struct {
	// Name identifies the engine.
	Name string
	// URL is the base address.
	URL string
	// FailureDomain is where the engine stands.
	FailureDomain string
	// Incarnation changes when the engine restarts.
	Incarnation string
	// Reachable means that a report came lately.
	Reachable bool
	// Leaving means that the engine takes no new work.
	Leaving bool
	// Running and Waiting are the requests of the last report.
	Running int
	Waiting int
	// ReportedAt is when the last report came, by this VM's clock.
	ReportedAt time.Time
	// Ready holds the versions of each item that can serve.
	Ready map[Item][]string
}

// Serves reports whether the engine has the item ready, in whatever version.
func (e *Engine) Serves(i Item) bool {
	return len(e.Ready[i]) > 0
}

// Fleet is all engines at one time. It is immutable once published.
type Fleet struct {
	// Engines are in the document's order.
	Engines []Engine
}
