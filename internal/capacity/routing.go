package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

const (
	// requestsPerVM is the target's 5,200 requests a second over 420 VMs.
	requestsPerVM = 5200.0 / targetVMs
	// picksMeasured is how many choices are timed at each size.
	picksMeasured = 2000
	// fleetsPerSecond is how often a VM takes a new snapshot of the engines.
	fleetsPerSecond = 2
	fleetsMeasured  = 5
)

// measureRouting times the choice of an engine where one VM knows all engines,
// and the taking of a new snapshot of them.
func measureRouting() []series {
	pick := series{role: "entry: routing", name: "choices at 12.4 requests/s", unit: "% of a core", sizeName: "engines known", target: targetEngines}
	fleet := series{role: "entry: routing", name: "two snapshots a second", unit: "% of a core", sizeName: "engines known", target: targetEngines}
	memory := series{role: "entry: routing", name: "memory", unit: "MB", sizeName: "engines known", target: targetEngines}
	for _, n := range engineSizes {
		before := heap()
		r := route.New(route.Options{})
		f := engineFleet(n)
		r.SetFleet(f)
		memory.add(n, (heap()-before)/megabyte)
		fleet.add(n, timed(func() {
			for range fleetsMeasured {
				r.SetFleet(f)
			}
		})/fleetsMeasured*fleetsPerSecond*percent)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1, 0)
		seconds := timed(func() {
			for range picksMeasured {
				choose(r, now, n, rng)
			}
		})
		pick.add(n, seconds/picksMeasured*requestsPerVM*percent)
	}
	return []series{pick, fleet, memory}
}

func choose(r *route.Router, now time.Time, n int, rng *rand.Rand) {
	item := route.Item{Model: fmt.Sprintf("model-%03d", rng.IntN(modelsFor(n)))}
	e, err := r.Pick(route.Request{Item: item, Version: "v1", Prefix: route.Prefix(rng.Uint64())}, now, rng)
	must(err)
	r.Started(e.Name, item, now)
	r.Finished(e.Name, item, true, now)
}

// engineFleet is n engines that hold the models in turn, each with its adapters.
func engineFleet(n int) *route.Fleet {
	f := &route.Fleet{}
	models := modelsFor(n)
	for i := range n {
		e := route.Engine{
			Name: fmt.Sprintf("engine-%05d", i), URL: "https://10.64.0.1:8000", Reachable: true,
			ReportedAt: time.Unix(0, 0), Ready: make(map[route.Item][]string),
		}
		for j := range modelsPerEngine {
			model := fmt.Sprintf("model-%03d", (i*modelsPerEngine+j)%models)
			e.Ready[route.Item{Model: model}] = []string{"v1"}
			for k := range modelAdapters {
				e.Ready[route.Item{Model: model, Adapter: fmt.Sprintf("adapter-%d", k)}] = []string{"v1"}
			}
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}
