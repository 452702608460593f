package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// largeFleet has 160 engines and 224 models, of which a third is asked for.
func largeFleet(r *rand.Rand) Fleet {
	f := Fleet{
		Spec: testSpec(224), Demand: make(map[string]float64), Certain: make(map[string]float64), Idle: make(map[string]bool),
		Settled: make(map[string]time.Time), StoreLoads: 2, Now: time.Now(),
	}
	for m := range f.Spec.Models {
		f.Idle[m] = true
	}
	for i := range 80 {
		m, demand := fmt.Sprint("m", i), 20/float64(1+i)
		f.Demand[m], f.Certain[m], f.Idle[m] = demand, 0.8*demand, false
	}
	for i := range 160 {
		e := engine(fmt.Sprint("e", i))
		for range 2 {
			m := fmt.Sprint("m", min(223, int(r.ExpFloat64()*30)))
			e.Models[m], e.Quick[m] = true, true
		}
		for range 3 {
			e.Quick[fmt.Sprint("m", r.IntN(224))] = true
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

// BenchmarkPlanModelsLarge tells the time of a plan at the size of some hundred engines, which
// a leader makes several times a second on a part of a core.
func BenchmarkPlanModelsLarge(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	var took time.Duration
	plans := 0
	for b.Loop() {
		f := largeFleet(r)
		began := time.Now()
		PlanModels(f)
		took += time.Since(began)
		plans++
	}
	b.ReportMetric(float64(took.Microseconds())/float64(plans), "us/plan")
}
