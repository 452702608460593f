package route

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// Item identifies what a request asks for: a base model if Adapter is empty, and
// otherwise an adapter of that model.
type Item struct {
	// Model is the base model's name.
	Model string
	// Adapter is the adapter's name, or empty.
	Adapter string
}

// Engine is the last reported state of one engine.
type Engine struct {
	// Name identifies the engine.
	Name string
	// URL is the base address.
	URL string
	// FailureDomain is the engine's failure domain.
	FailureDomain string
	// Incarnation changes when the engine restarts.
	Incarnation string
	// Reachable means that the engine has reported recently.
	Reachable bool
	// Leaving means that the engine accepts no new requests.
	Leaving bool
	// Running and Waiting are the numbers of running and queued requests in the
	// last report.
	Running int
	Waiting int
	// ReportedAt is when the last report arrived, by this VM's clock.
	ReportedAt time.Time
	// Ready holds, for each item, the versions that are ready to serve.
	Ready map[Item][]string
}

// Serves reports whether the engine has any version of the item ready.
func (e *Engine) Serves(i Item) bool {
	return len(e.Ready[i]) > 0
}

// Fleet is a snapshot of all engines. It is immutable once published.
type Fleet struct {
	// Engines are in the order of the configuration document.
	Engines []Engine
}

// PoolItem returns the item that represents a pool of replicas of a plain service.
func PoolItem(name string) Item {
	return Item{Model: name}
}

// PoolFleet returns the replicas of plain services as a fleet with one item per
// pool. Services send no load reports: a replica is chosen by this VM's own
// requests in flight and by their outcomes. leaving reports whether the VM at an
// address "IP:port" is leaving.
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
