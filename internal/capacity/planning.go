package main

import (
	"runtime"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// measurePlanning times the plan for engines that hold nothing, which is the
// largest possible plan, and the next plan, for engines that already hold
// everything that is planned for them.
func measurePlanning() []series {
	first := series{role: "planner: leader", name: "first plan", unit: "s", sizeName: "engines", target: targetEngines}
	next := series{role: "planner: leader", name: "next plan", unit: "s", sizeName: "engines", target: targetEngines}
	memory := series{role: "planner: leader", name: "memory of the engines and the plan", unit: "MB", sizeName: "engines", target: targetEngines}
	for _, n := range engineSizes {
		doc := parseDocument(n)
		before := heapBytes()
		input := placement.Input{Models: doc.Models, Engines: placement.EnginesOf(doc), Demand: skewedDemand(n)}
		var plan placement.Plan
		first.add(n, measureSeconds(func() { plan = placement.NewPlan(input) }))
		input.Engines = withPlannedItems(input.Engines, plan)
		next.add(n, measureSeconds(func() { plan = placement.NewPlan(input) }))
		memory.add(n, (heapBytes()-before)/megabyte)
		// Without this, the garbage collector frees objects from before the plan,
		// which the first heap measurement includes.
		runtime.KeepAlive(doc)
		runtime.KeepAlive(input)
		runtime.KeepAlive(plan)
	}
	return []series{first, next, memory}
}

// skewedDemand returns a demand that is far higher for some models than for
// others.
func skewedDemand(n int) map[placement.Name]float64 {
	demand := make(map[placement.Name]float64)
	for i, m := range parseDocument(n).Models {
		demand[placement.Name{Model: m.Name}] = float64(n) / float64(i+1)
	}
	return demand
}

// withPlannedItems returns the engines with the items that a plan assigns to
// them, all of them ready.
func withPlannedItems(engines []placement.Engine, plan placement.Plan) []placement.Engine {
	heldItems := make(map[string][]placement.HeldItem)
	for _, a := range plan.Assignments {
		heldItems[a.Engine] = append(heldItems[a.Engine], placement.HeldItem{Item: a.Item, Memory: a.Memory, Ready: true})
	}
	for i := range engines {
		engines[i].HeldItems = heldItems[engines[i].Name]
	}
	return engines
}
