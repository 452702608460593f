package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// demandPerEngine is in tokens per second.
const demandPerEngine = 180

// runsPerPlan is how many times each plan is made; the median time is reported.
const runsPerPlan = 5

func measureCost() {
	sizes := []fleetSize{
		{"gt-central", 20, 4, 20, 110},
		{"cz-central", 20, 3, 30, 100},
		{"one region", 1_100, 4, 360, 360},
		{"", 3_000, 12, 360, 360},
		{"", 6_000, 20, 360, 360},
		{"target", 12_000, 38, 360, 360},
		{"target, 10 adapters a model", 12_000, 38, 360, 3_600},
	}
	fmt.Println("| fleet | engines | models + adapters | empty fleet | nothing to do | demand moved | moves then | allocated | copies |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, s := range sizes {
		s.measureCost()
	}
}

func (s fleetSize) measureCost() {
	random := rand.New(rand.NewPCG(1, 1))
	models, engines := s.buildFleet()
	in := placement.Input{Models: models, Engines: engines, Demand: randomDemand(models, demandPerEngine*float64(s.engines), random)}
	empty, allocated, plan := timePlan(in)
	// One plan adds a bounded number of copies for demand; repeat until nothing
	// moves.
	for plan.Moves > 0 {
		in.Engines = assignPlan(engines, plan)
		plan = placement.NewPlan(in)
	}
	unchanged, _, _ := timePlan(in)
	in.Demand = randomDemand(models, demandPerEngine*float64(s.engines), random)
	moved, _, next := timePlan(in)
	fmt.Printf("| %s | %d | %d + %d | %s | %s | %s | %d | %.1f MB | %d |\n", s.name, s.engines, s.models, s.adapters,
		empty.Round(10*time.Microsecond), unchanged.Round(10*time.Microsecond), moved.Round(10*time.Microsecond),
		next.Moves, float64(allocated)/1e6, len(plan.Assignments))
}

// timePlan makes a plan runsPerPlan times and returns the median time, the
// memory that one run allocates, and the plan.
func timePlan(in placement.Input) (time.Duration, uint64, placement.Plan) {
	var times []time.Duration
	var plan placement.Plan
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runsPerPlan {
		start := time.Now()
		plan = placement.NewPlan(in)
		times = append(times, time.Since(start))
	}
	runtime.ReadMemStats(&after)
	return median(times), (after.TotalAlloc - before.TotalAlloc) / runsPerPlan, plan
}
