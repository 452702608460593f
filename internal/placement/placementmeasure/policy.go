package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/demand"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

const (
	// engineRate is the number of tokens per second that one engine generates.
	engineRate = 1_000
	// requestTokens is the number of tokens of one request.
	requestTokens = 400
	// loadsPerStep allows two loads per second.
	loadsPerStep = 2 * int(stepLength/time.Second)
)

// simulation is a fleet that serves the demand of a trace step by step.
type simulation struct {
	size       fleetSize
	trace      *trace
	engines    []placement.Engine
	memory     map[placement.Item]int64
	itemByName map[placement.Name]placement.Item
	// ready lists the engines on which each item is ready; lastUsed is when
	// each copy last served a request.
	ready      map[placement.Item][]int
	lastUsed   map[copyKey]time.Duration
	tokensLeft []float64
	// loading lists the copies that become ready in the next step.
	loading []copyKey

	offered, served  int
	loads            int
	itemSteps        int
	unreadyItemSteps int
}

type copyKey struct {
	engine int
	item   placement.Item
}

// policy decides what to load and unload.
type policy interface {
	// onMiss is called for each request that no copy could serve in time.
	onMiss(w *simulation, item placement.Item, now time.Duration)
	// onStep is called in every step, after its requests, with the step's
	// demand.
	onStep(w *simulation, rates map[placement.Name]float64, now time.Duration)
}

func comparePolicies() {
	fmt.Println("| fleet | policy | attained | attained tokens/s an accelerator | moves an hour | ready share of item-time |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, s := range []fleetSize{
		{"gt-central", 20, 4, 20, 110},
		{"cz-central", 20, 3, 30, 100},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			s.comparePolicies(seed)
		}
	}
}

func (s fleetSize) comparePolicies(seed uint64) {
	for _, c := range []struct {
		name   string
		policy policy
	}{
		{"static", staticPolicy{}},
		{"least recently used", &lruPolicy{}},
		{"planner", &plannedPolicy{estimator: demand.NewEstimator(demand.Options{})}},
	} {
		w := newSimulation(s, seed)
		w.run(c.policy, seed)
		hours := traceLength.Hours()
		fmt.Printf("| %s, seed %d | %s | %.2f%% | %.1f | %.0f | %.4f%% |\n", s.name, seed, c.name,
			100*float64(w.served)/float64(w.offered),
			float64(w.served)*requestTokens/traceLength.Seconds()/float64(s.engines),
			float64(w.loads)/hours, 100*(1-float64(w.unreadyItemSteps)/float64(w.itemSteps)))
	}
}

func newSimulation(s fleetSize, seed uint64) *simulation {
	models, engines := s.buildFleet()
	w := &simulation{
		size: s, engines: engines,
		trace:      newTrace(models, engineRate*float64(s.engines), rand.New(rand.NewPCG(seed, 7))),
		memory:     make(map[placement.Item]int64),
		itemByName: make(map[placement.Name]placement.Item),
		ready:      make(map[placement.Item][]int),
		lastUsed:   make(map[copyKey]time.Duration),
	}
	for _, m := range models {
		w.addItem(placement.Item{Model: m.Name, Version: m.Version}, int64(m.Memory))
		for _, a := range m.Adapters {
			w.addItem(placement.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, int64(a.Memory))
		}
	}
	// Every policy starts from the same placement, which is planned for the
	// mean demand.
	in := placement.Input{Models: models, Engines: engines, Demand: w.meanDemand()}
	for plan := placement.NewPlan(in); ; plan = placement.NewPlan(in) {
		in.Engines = assignPlan(engines, plan)
		if plan.Moves == 0 {
			break
		}
	}
	w.engines = in.Engines
	w.indexReady()
	return w
}

func (w *simulation) addItem(item placement.Item, memory int64) {
	w.memory[item] = memory
	w.itemByName[item.Name()] = item
}

func (w *simulation) meanDemand() map[placement.Name]float64 {
	sum := make(map[placement.Name]float64)
	const samples = 200
	for i := range samples {
		for name, rate := range w.trace.demandAt(traceLength * time.Duration(i) / samples) {
			sum[name] += rate / samples
		}
	}
	return sum
}

// indexReady rebuilds the list of engines on which each item is ready.
func (w *simulation) indexReady() {
	clear(w.ready)
	for i, e := range w.engines {
		for _, h := range e.HeldItems {
			if h.Ready {
				w.ready[h.Item] = append(w.ready[h.Item], i)
			}
		}
	}
}

func (w *simulation) run(p policy, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	for now := time.Duration(0); now < traceLength; now += stepLength {
		w.finishLoads()
		w.tokensLeft = slices.Repeat([]float64{engineRate * stepLength.Seconds()}, len(w.engines))
		rates := w.trace.demandAt(now)
		for _, item := range w.requests(rates, random) {
			w.offered++
			if w.serve(item, now) {
				w.served++
			} else {
				p.onMiss(w, item, now)
			}
		}
		p.onStep(w, rates, now)
		w.countUnready()
	}
}

// requests returns a step's requests in random order.
func (w *simulation) requests(rates map[placement.Name]float64, random *rand.Rand) []placement.Item {
	var out []placement.Item
	for _, item := range w.items() {
		expected := rates[item.Name()] * stepLength.Seconds() / requestTokens
		n := int(expected)
		if random.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			out = append(out, item)
		}
	}
	random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// items returns every item in a fixed order.
func (w *simulation) items() []placement.Item {
	var out []placement.Item
	for _, m := range w.trace.models {
		out = append(out, w.itemByName[placement.Name{Model: m.Name}])
		for _, a := range m.Adapters {
			out = append(out, w.itemByName[placement.Name{Model: m.Name, Adapter: a.Name}])
		}
	}
	return out
}

// serve runs a request on the least busy engine on which the item is ready, if
// that engine can still finish it in this step.
func (w *simulation) serve(item placement.Item, now time.Duration) bool {
	best := -1
	for _, e := range w.ready[item] {
		if best < 0 || w.tokensLeft[e] > w.tokensLeft[best] {
			best = e
		}
	}
	if best < 0 || w.tokensLeft[best] < requestTokens {
		return false
	}
	w.tokensLeft[best] -= requestTokens
	w.lastUsed[copyKey{best, item}] = now
	base := placement.Item{Model: item.Model, Version: item.Version}
	w.lastUsed[copyKey{best, base}] = now
	return true
}

func (w *simulation) countUnready() {
	for item := range w.memory {
		w.itemSteps++
		if len(w.ready[item]) == 0 {
			w.unreadyItemSteps++
		}
	}
}

// load starts loading an item; it is ready in the next step.
func (w *simulation) load(e int, item placement.Item) {
	w.loads++
	w.engines[e].HeldItems = append(w.engines[e].HeldItems, placement.HeldItem{Item: item, Memory: w.memory[item]})
	w.loading = append(w.loading, copyKey{e, item})
}

func (w *simulation) finishLoads() {
	for _, l := range w.loading {
		for i := range w.engines[l.engine].HeldItems {
			if h := &w.engines[l.engine].HeldItems[i]; h.Item == l.item {
				h.Ready = true
			}
		}
	}
	w.loading = w.loading[:0]
	w.indexReady()
}

func (w *simulation) unload(e int, item placement.Item) {
	holds := w.engines[e].HeldItems
	w.engines[e].HeldItems = slices.DeleteFunc(slices.Clone(holds), func(h placement.HeldItem) bool { return h.Item == item })
	w.indexReady()
}

func (w *simulation) freeMemory(e int) int64 {
	free := w.engines[e].Capacity
	for _, h := range w.engines[e].HeldItems {
		free -= h.Memory
	}
	return free
}

func (w *simulation) holds(e int, item placement.Item) bool {
	return slices.ContainsFunc(w.engines[e].HeldItems, func(h placement.HeldItem) bool { return h.Item == item })
}
