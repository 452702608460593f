package main

import (
	"runtime"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// measurePlanning times a plan for engines that hold nothing, the largest that
// there is, and the next one, which finds everything in place.
func measurePlanning() []series {
	first := series{role: "planner: leader", name: "first plan", unit: "s", sizeName: "engines", target: targetEngines}
	next := series{role: "planner: leader", name: "next plan", unit: "s", sizeName: "engines", target: targetEngines}
	memory := series{role: "planner: leader", name: "memory of the engines and the plan", unit: "MB", sizeName: "engines", target: targetEngines}
	for _, n := range engineSizes {
		doc := parsed(n)
		before := heap()
		input := placement.Input{Models: doc.Models, Engines: placement.EnginesOf(doc), Demand: demandOf(n)}
		var plan placement.Plan
		first.add(n, timed(func() { plan = placement.Make(input) }))
		input.Engines = holding(input.Engines, plan)
		next.add(n, timed(func() { plan = placement.Make(input) }))
		memory.add(n, (heap()-before)/megabyte)
		// Without this the collector frees what was there before the plan.
		runtime.KeepAlive(doc)
		runtime.KeepAlive(input)
		runtime.KeepAlive(plan)
	}
	return []series{first, next, memory}
}

// demandOf makes some models wanted far more than others.
func demandOf(n int) map[placement.Name]float64 {
	demand := make(map[placement.Name]float64)
	for i, m := range parsed(n).Models {
		demand[placement.Name{Model: m.Name}] = float64(n) / float64(i+1)
	}
	return demand
}

// holding returns the engines with what a plan wants of them, ready.
func holding(engines []placement.Engine, plan placement.Plan) []placement.Engine {
	holds := make(map[string][]placement.Held)
	for _, a := range plan.Assignments {
		holds[a.Engine] = append(holds[a.Engine], placement.Held{Item: a.Item, Memory: a.Memory, Ready: true})
	}
	for i := range engines {
		engines[i].Holds = holds[engines[i].Name]
	}
	return engines
}
