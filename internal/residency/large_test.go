package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeFleet has the given number of engines and 224 models, of which 80 are in demand.
func largeFleet(r *rand.Rand, engines int) Fleet {
	f := Fleet{
		Spec: testSpec(224), Demand: make(map[string]float64), MinDemand: make(map[string]float64), Idle: make(map[string]bool),
		PinnedUntil: make(map[string]time.Time), StoreLoadBudget: 2, Now: time.Now(),
	}
	for m := range f.Spec.Models {
		f.Idle[m] = true
	}
	for i := range 80 {
		m, demand := fmt.Sprint("m", i), 20/float64(1+i)
		f.Demand[m], f.MinDemand[m], f.Idle[m] = demand, 0.8*demand, false
	}
	for i := range engines {
		e := engine(fmt.Sprint("e", i))
		for range 2 {
			m := fmt.Sprint("m", min(223, int(r.ExpFloat64()*30)))
			e.Models[m], e.LocalWeights[m] = true, true
		}
		for range 3 {
			e.LocalWeights[fmt.Sprint("m", r.IntN(224))] = true
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

// BenchmarkPlanModelsLarge measures the time of one plan for 160 engines. A leader plans several
// times a second on a fraction of a core.
func BenchmarkPlanModelsLarge(b *testing.B) { benchmarkPlan(b, 160) }

// BenchmarkPlanModelsFleet is the same for 4,000 engines.
func BenchmarkPlanModelsFleet(b *testing.B) { benchmarkPlan(b, 4000) }

func benchmarkPlan(b *testing.B, engines int) {
	r := rand.New(rand.NewPCG(1, 1))
	var took time.Duration
	plans := 0
	for b.Loop() {
		f := largeFleet(r, engines)
		began := time.Now()
		PlanModels(f)
		took += time.Since(began)
		plans++
	}
	b.ReportMetric(float64(took.Microseconds())/float64(plans), "us/plan")
}

// Guards against plans that balance all engines anew for each move into free memory.
func TestMovesIntoFreeMemoryDoNotRepeatThePlan(t *testing.T) {
	const engines = 4000
	allocations := func(plan func(Fleet)) float64 {
		return testing.AllocsPerRun(1, func() { plan(largeFleet(rand.New(rand.NewPCG(1, 1)), engines)) })
	}
	moves := 0
	cost := allocations(func(f Fleet) { moves = len(PlanModels(f)) }) - allocations(func(Fleet) {})
	require.Greater(t, moves, 50)
	require.Less(t, cost, float64(engines))
}

// Guards against plans that balance all engines anew for each model that is missing and whose demand is not known yet.
func TestMovesOfModelsWithoutDemandDoNotRepeatTheBalance(t *testing.T) {
	const engines = 1000
	plan := func(missing int) (moves int) {
		f := largeFleet(rand.New(rand.NewPCG(1, 1)), engines)
		for i := range missing {
			m := fmt.Sprint("m", 223-i)
			f.Idle[m] = false
			for _, e := range f.Engines {
				delete(e.Models, m)
			}
		}
		f.StoreLoadBudget = missing
		return len(PlanModels(f))
	}
	cost := func(missing int) float64 { return testing.AllocsPerRun(1, func() { plan(missing) }) }
	require.Greater(t, plan(40), plan(0)+30)
	require.Less(t, cost(40)-cost(0), float64(engines))
}
