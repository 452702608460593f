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
	// engineRate is what one engine generates, in tokens per second.
	engineRate = 1_000
	// requestTokens is one request.
	requestTokens = 400
	// loadsPerStep is two loads a second.
	loadsPerStep = 2 * int(step/time.Second)
)

// world is a fleet that is asked for tokens step by step.
type world struct {
	size    size
	trace   *trace
	engines []placement.Engine
	memory  map[placement.Item]int64
	byName  map[placement.Name]placement.Item
	// ready lists where each item serves; used is when last.
	ready map[placement.Item][]int
	used  map[at]time.Duration
	left  []float64
	// loading becomes ready in the next step.
	loading []at

	offered, served int
	loads           int
	itemSteps       int
	missing         int
}

type at struct {
	engine int
	item   placement.Item
}

// policy decides what to load and unload.
type policy interface {
	// miss is told of a request that no copy could serve in time.
	miss(w *world, item placement.Item, now time.Duration)
	// step is told of the demand of the step that begins.
	step(w *world, rates map[placement.Name]float64, now time.Duration)
}

func compare() {
	fmt.Println("| fleet | policy | attained | attained tokens/s an accelerator | moves an hour | ready share of item-time |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, s := range []size{
		{"gt-central", 20, 4, 20, 110},
		{"cz-central", 20, 3, 30, 100},
	} {
		for _, seed := range []uint64{1, 2, 3} {
			s.compare(seed)
		}
	}
}

func (s size) compare(seed uint64) {
	for _, c := range []struct {
		name   string
		policy policy
	}{
		{"static", static{}},
		{"least recently used", &lru{}},
		{"planner", &planned{estimator: demand.NewEstimator(demand.Options{})}},
	} {
		w := newWorld(s, seed)
		w.run(c.policy, seed)
		hours := length.Hours()
		fmt.Printf("| %s, seed %d | %s | %.2f%% | %.1f | %.0f | %.4f%% |\n", s.name, seed, c.name,
			100*float64(w.served)/float64(w.offered),
			float64(w.served)*requestTokens/length.Seconds()/float64(s.engines),
			float64(w.loads)/hours, 100*(1-float64(w.missing)/float64(w.itemSteps)))
	}
}

func newWorld(s size, seed uint64) *world {
	models, engines := s.build()
	w := &world{
		size: s, engines: engines,
		trace:  newTrace(models, engineRate*float64(s.engines), rand.New(rand.NewPCG(seed, 7))),
		memory: make(map[placement.Item]int64),
		byName: make(map[placement.Name]placement.Item),
		ready:  make(map[placement.Item][]int),
		used:   make(map[at]time.Duration),
	}
	for _, m := range models {
		w.know(placement.Item{Model: m.Name, Version: m.Version}, int64(m.Memory))
		for _, a := range m.Adapters {
			w.know(placement.Item{Model: m.Name, Adapter: a.Name, Version: a.Version}, int64(a.Memory))
		}
	}
	// Every policy begins with the same placement, made for the mean demand.
	in := placement.Input{Models: models, Engines: engines, Demand: w.mean()}
	for plan := placement.Make(in); ; plan = placement.Make(in) {
		in.Engines = hold(engines, plan)
		if plan.Moves == 0 {
			break
		}
	}
	w.engines = in.Engines
	w.index()
	return w
}

func (w *world) know(item placement.Item, memory int64) {
	w.memory[item] = memory
	w.byName[item.Name()] = item
}

func (w *world) mean() map[placement.Name]float64 {
	sum := make(map[placement.Name]float64)
	const samples = 200
	for i := range samples {
		for name, rate := range w.trace.at(length * time.Duration(i) / samples) {
			sum[name] += rate / samples
		}
	}
	return sum
}

// index finds out where each item is ready.
func (w *world) index() {
	clear(w.ready)
	for i, e := range w.engines {
		for _, h := range e.Holds {
			if h.Ready {
				w.ready[h.Item] = append(w.ready[h.Item], i)
			}
		}
	}
}

func (w *world) run(p policy, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	for now := time.Duration(0); now < length; now += step {
		w.finishLoads()
		w.left = slices.Repeat([]float64{engineRate * step.Seconds()}, len(w.engines))
		rates := w.trace.at(now)
		for _, item := range w.requests(rates, random) {
			w.offered++
			if w.serve(item, now) {
				w.served++
			} else {
				p.miss(w, item, now)
			}
		}
		p.step(w, rates, now)
		w.count()
	}
}

// requests lists a step's requests in random order.
func (w *world) requests(rates map[placement.Name]float64, random *rand.Rand) []placement.Item {
	var out []placement.Item
	for _, item := range w.items() {
		expected := rates[item.Name()] * step.Seconds() / requestTokens
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

// items lists every item in a fixed order.
func (w *world) items() []placement.Item {
	var out []placement.Item
	for _, m := range w.trace.models {
		out = append(out, w.byName[placement.Name{Model: m.Name}])
		for _, a := range m.Adapters {
			out = append(out, w.byName[placement.Name{Model: m.Name, Adapter: a.Name}])
		}
	}
	return out
}

// serve runs a request on the least busy engine that has the item, if it still
// finishes in time there.
func (w *world) serve(item placement.Item, now time.Duration) bool {
	best := -1
	for _, e := range w.ready[item] {
		if best < 0 || w.left[e] > w.left[best] {
			best = e
		}
	}
	if best < 0 || w.left[best] < requestTokens {
		return false
	}
	w.left[best] -= requestTokens
	w.used[at{best, item}] = now
	base := placement.Item{Model: item.Model, Version: item.Version}
	w.used[at{best, base}] = now
	return true
}

func (w *world) count() {
	for item := range w.memory {
		w.itemSteps++
		if len(w.ready[item]) == 0 {
			w.missing++
		}
	}
}

// load begins to load an item; it is ready in the next step.
func (w *world) load(e int, item placement.Item) {
	w.loads++
	w.engines[e].Holds = append(w.engines[e].Holds, placement.Held{Item: item, Memory: w.memory[item]})
	w.loading = append(w.loading, at{e, item})
}

func (w *world) finishLoads() {
	for _, l := range w.loading {
		for i := range w.engines[l.engine].Holds {
			if h := &w.engines[l.engine].Holds[i]; h.Item == l.item {
				h.Ready = true
			}
		}
	}
	w.loading = w.loading[:0]
	w.index()
}

func (w *world) unload(e int, item placement.Item) {
	holds := w.engines[e].Holds
	w.engines[e].Holds = slices.DeleteFunc(slices.Clone(holds), func(h placement.Held) bool { return h.Item == item })
	w.index()
}

func (w *world) free(e int) int64 {
	free := w.engines[e].Capacity
	for _, h := range w.engines[e].Holds {
		free -= h.Memory
	}
	return free
}

func (w *world) holds(e int, item placement.Item) bool {
	return slices.ContainsFunc(w.engines[e].Holds, func(h placement.Held) bool { return h.Item == item })
}
