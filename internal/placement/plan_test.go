package placement

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/document"
)

// TestMain uses a fixed seed unless the command line gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// drawInput draws models with adapters, and engines in three failure domains
// that hold the copies of an earlier plan. Some engines are not available.
func drawInput(t *rapid.T) Input {
	in := Input{Demand: make(map[Name]float64)}
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		m := document.Model{Name: fmt.Sprintf("m%d", i), Version: "v1", Memory: document.Bytes(rapid.IntRange(5, 30).Draw(t, "memory"))}
		for j := range rapid.IntRange(0, 3).Draw(t, "adapters") {
			m.Adapters = append(m.Adapters, document.Adapter{Name: fmt.Sprintf("a%d", j), Version: "v1", Memory: 1})
			in.Demand[Name{Model: m.Name, Adapter: fmt.Sprintf("a%d", j)}] = rapid.Float64Range(0, 100).Draw(t, "demand")
		}
		in.Demand[Name{Model: m.Name}] = rapid.Float64Range(0, 1000).Draw(t, "demand")
		in.Models = append(in.Models, m)
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "engines") {
		in.Engines = append(in.Engines, Engine{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Capacity: 64, Available: true,
		})
	}
	assignPlan(in.Engines, NewPlan(in))
	for i := range in.Engines {
		in.Engines[i].Available = rapid.IntRange(0, 5).Draw(t, "up") > 0
	}
	if rapid.Bool().Draw(t, "replaced") {
		in.Models[0].Version = "v2"
	}
	for name := range in.Demand {
		in.Demand[name] *= rapid.Float64Range(0, 10).Draw(t, "moved")
	}
	return in
}

// A plan that exceeds an engine's capacity, or puts an adapter on an engine
// without its base model, could never be carried out: requests for the adapter
// would be refused permanently.
func TestPlansRespectCapacityAndKeepAdaptersWithTheirBase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		p := NewPlan(in)
		used := make(map[string]int64)
		bases := make(map[string]bool)
		for _, a := range p.Assignments {
			used[a.Engine] += a.Memory
			bases[a.Engine+"/"+a.Item.Model] = bases[a.Engine+"/"+a.Item.Model] || a.Item.IsBase()
		}
		for _, e := range in.Engines {
			require.LessOrEqual(t, used[e.Name], e.Capacity)
			require.True(t, e.Available || used[e.Name] == 0)
		}
		for _, a := range p.Assignments {
			require.True(t, bases[a.Engine+"/"+a.Item.Model], "%v is planned on an engine without its base model", a)
		}
		require.Equal(t, p, NewPlan(in), "the same input must give the same plan")
	})
}

// Two equally busy models must not evict each other in turn: each eviction
// causes a load that the weight store has to serve and that callers wait for.
func TestPlansConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		for range 30 {
			p := NewPlan(in)
			if p.Moves == 0 {
				return
			}
			for i := range in.Engines {
				in.Engines[i].HeldItems = nil
			}
			assignPlan(in.Engines, p)
		}
		t.Fatalf("the plan still moves copies after 30 iterations")
	})
}

func testDocument(engines, models int, memory document.Bytes) *document.Document {
	doc := &document.Document{}
	for i := range engines {
		doc.Engines = append(doc.Engines, document.Engine{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i), Memory: 80 * document.GiB, KVCacheReserve: 16 * document.GiB,
		})
	}
	for i := range models {
		doc.Models = append(doc.Models, document.Model{Name: fmt.Sprintf("m%d", i), Version: "v1", Memory: memory})
	}
	return doc
}

func TestFitsReportsTheMemoryBudget(t *testing.T) {
	require.NoError(t, CheckFits(testDocument(2, 6, 20*document.GiB)))
	// The sum fits, 120 of 128 GiB, but no engine has memory for three models
	// of 24 GiB.
	err := CheckFits(testDocument(2, 5, 24*document.GiB))
	require.ErrorIs(t, err, ErrDoesNotFit)
	require.ErrorContains(t, err, "models 120.00GiB + adapters 0.00GiB = 120.00GiB; "+
		"engines 160.00GiB - KV-cache reserve 32.00GiB = 128.00GiB; largest model 24.00GiB, largest engine 64.00GiB")
	require.ErrorContains(t, err, "no place for m4")
}

// All models are replaced in one change and there is no memory for any new
// version beside the current one. If the change were accepted, it would never
// complete or would leave models without a copy.
func TestChangeThatDoesNotFitBesideTheCurrentDocumentIsRefused(t *testing.T) {
	before := testDocument(2, 6, 20*document.GiB)
	after := testDocument(2, 6, 20*document.GiB)
	for i := range after.Models {
		after.Models[i].Version = "v2"
	}
	require.NoError(t, CheckFits(after))
	require.ErrorIs(t, CheckChangeFits(before, after), ErrDoesNotFit)
	require.NoError(t, CheckChangeFits(testDocument(4, 6, 20*document.GiB), testDocument(4, 6, 20*document.GiB)))
}

// After the loss of a failure domain, the items that had copies there are
// loaded where there is memory, before any copy is added for demand.
func TestCopiesOfALostDomainAreReplacedBeforeDemandIsServed(t *testing.T) {
	doc := testDocument(3, 3, 20*document.GiB)
	in := Input{Models: doc.Models, Engines: EnginesOf(doc)}
	assignPlan(in.Engines, NewPlan(in))
	in.Engines[0].Available = false
	in.Demand = map[Name]float64{{Model: "m0"}: 1000}
	p := NewPlan(in)
	require.Empty(t, p.Unplaced)
	require.Empty(t, p.OneDomain)
	for i, a := range p.Assignments {
		if a.Reason == ReasonDemand {
			require.NotEqual(t, 0, i)
		}
	}
}
