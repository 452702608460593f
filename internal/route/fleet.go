package route

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

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

// PoolItem is the item that stands for a pool of plain services.
func PoolItem(name string) Item {
	return Item{Model: name}
}

// PoolFleet returns the replicas of plain services as a fleet, one item a pool.
// Services make no load reports: they are chosen by this VM's own requests and by
// how those ended. Leaving reports whether the VM at an address "IP:port" is
// leaving.
func PoolFleet(services []document.Service, leaving func(address string) bool) *Fleet {
	f := &Fleet{}
	for _, s := range services {
		for _, r := range s.Replicas {
			f.Engines = append(f.Engines, Engine{
				Name: r.Name, URL: r.URL, FailureDomain: r.FailureDomain, Reachable: true,
				Leaving: r.Draining || leaving(document.Address(r.URL)), Ready: map[Item][]string{PoolItem(s.Name): {""}},
			})
		}
	}
	return f
}
