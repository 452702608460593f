package main

import (
	"fmt"
	"math/rand/v2"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// fleetSize is the size of one fleet to measure.
type fleetSize struct {
	name                               string
	engines, domains, models, adapters int
}

// Memory sizes of the fleets: an accelerator of 80 GiB, of which 16 GiB are
// reserved for the KV cache, models of 14 to 28 GiB, adapters of 200 MiB.
const (
	weightMemory  = 64 * document.GiB
	smallestModel = 14 * document.GiB
	modelStep     = 2 * document.GiB
	modelSteps    = 8
	adapterMemory = 200 * document.MiB
)

func (s fleetSize) buildFleet() ([]document.Model, []placement.Engine) {
	var models []document.Model
	for i := range s.models {
		models = append(models, document.Model{
			Name: fmt.Sprintf("m%d", i), Version: "v1",
			Memory: smallestModel + modelStep*document.Bytes(i%modelSteps),
		})
	}
	for i := range s.adapters {
		m := &models[i%s.models]
		m.Adapters = append(m.Adapters, document.Adapter{Name: fmt.Sprintf("a%d", i), Version: "v1", Memory: adapterMemory})
	}
	var engines []placement.Engine
	for i := range s.engines {
		engines = append(engines, placement.Engine{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%s.domains),
			Capacity: int64(weightMemory), Available: true,
		})
	}
	return models, engines
}

// randomDemand returns a random rate for every name. The distribution is
// skewed: few names have most of the demand.
func randomDemand(models []document.Model, total float64, random *rand.Rand) map[placement.Name]float64 {
	rates := make(map[placement.Name]float64)
	var sum float64
	add := func(n placement.Name) {
		rates[n] = 1 / (0.02 + random.Float64())
		sum += rates[n]
	}
	for _, m := range models {
		add(placement.Name{Model: m.Name})
		for _, a := range m.Adapters {
			add(placement.Name{Model: m.Name, Adapter: a.Name})
		}
	}
	for n := range rates {
		rates[n] *= total / sum
	}
	return rates
}

// assignPlan returns a copy of the engines in which each holds exactly the
// copies that the plan assigns to it.
func assignPlan(engines []placement.Engine, p placement.Plan) []placement.Engine {
	index := make(map[string]int, len(engines))
	out := make([]placement.Engine, len(engines))
	for i, e := range engines {
		index[e.Name] = i
		e.HeldItems = nil
		out[i] = e
	}
	for _, a := range p.Assignments {
		e := &out[index[a.Engine]]
		e.HeldItems = append(e.HeldItems, placement.HeldItem{Item: a.Item, Memory: a.Memory, Ready: true})
	}
	return out
}
