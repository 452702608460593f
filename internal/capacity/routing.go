package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/route"
)

const (
	// requestsPerSecondAndVM is the target's 5,200 requests per second divided by
	// 420 VMs.
	requestsPerSecondAndVM = 5200.0 / targetVMs
	// picksMeasured is the number of choices of an engine that are timed at each
	// size.
	picksMeasured = 2000
	// snapshotsPerSecond is the number of new snapshots of the engines that a VM's
	// router receives per second.
	snapshotsPerSecond = 2
	snapshotsMeasured  = 5
)

// measureRouting times the choice of an engine by a VM that knows all engines, and
// the update of its router with a new snapshot of them.
func measureRouting() []series {
	pick := series{role: "entry: routing", name: "choices at 12.4 requests/s", unit: "% of a core", sizeName: "engines known", target: targetEngines}
	fleet := series{role: "entry: routing", name: "two snapshots a second", unit: "% of a core", sizeName: "engines known", target: targetEngines}
	memory := series{role: "entry: routing", name: "memory", unit: "MB", sizeName: "engines known", target: targetEngines}
	for _, n := range engineSizes {
		before := heapBytes()
		r := route.New(route.Options{})
		f := newEngineFleet(n)
		r.SetFleet(f)
		memory.add(n, (heapBytes()-before)/megabyte)
		fleet.add(n, measureSeconds(func() {
			for range snapshotsMeasured {
				r.SetFleet(f)
			}
		})/snapshotsMeasured*snapshotsPerSecond*percent)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1, 0)
		seconds := measureSeconds(func() {
			for range picksMeasured {
				routeRequest(r, now, n, rng)
			}
		})
		pick.add(n, seconds/picksMeasured*requestsPerSecondAndVM*percent)
	}
	return []series{pick, fleet, memory}
}

func routeRequest(r *route.Router, now time.Time, n int, rng *rand.Rand) {
	item := route.Item{Model: fmt.Sprintf("model-%03d", rng.IntN(modelsFor(n)))}
	e, err := r.Pick(route.Request{Item: item, Version: "v1", Prefix: route.Prefix(rng.Uint64())}, now, rng)
	must(err)
	r.Started(e.Name, item, now)
	r.Finished(e.Name, item, true, now)
}

// newEngineFleet returns n engines to which the models are assigned in turn, each
// with its adapters.
func newEngineFleet(n int) *route.Fleet {
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
			for k := range adaptersPerModel {
				e.Ready[route.Item{Model: model, Adapter: fmt.Sprintf("adapter-%d", k)}] = []string{"v1"}
			}
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}
