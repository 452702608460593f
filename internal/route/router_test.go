package route

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	base    = Item{Model: "m"}
	adapted = Item{Model: "m", Adapter: "a"}
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// world is a router beside the simplest account of what it may do.
type world struct {
	*Router
	now     time.Time
	fleet   Fleet
	rng     *rand.Rand
	running []run
}

// run is a request in flight.
type run struct {
	engine string
	item   Item
}

func newWorld(f faults) *world {
	w := &world{Router: New(Options{EjectAfter: 1, EjectFor: time.Minute}), now: start, rng: rng(1)}
	w.faults = f
	for i := range 6 {
		w.fleet.Engines = append(w.fleet.Engines, Engine{
			Name: fmt.Sprint("e", i), Reachable: true, ReportedAt: start,
			Ready: map[Item][]string{base: {"v1"}, adapted: {"v1"}},
		})
	}
	w.publish()
	return w
}

func (w *world) publish() {
	w.SetFleet(&Fleet{Engines: slices.Clone(w.fleet.Engines)})
}

const adapterPart = 3

// pick checks a choice against the engines' true state.
func (w *world) pick(t require.TestingT, q Request) {
	e, err := w.Pick(q, w.now, w.rng)
	if err != nil {
		return
	}
	at := slices.IndexFunc(w.fleet.Engines, func(o Engine) bool { return o.Name == e.Name })
	truth := w.fleet.Engines[at]
	require.True(t, truth.Reachable, "unreachable engine chosen")
	require.False(t, truth.Leaving, "leaving engine chosen")
	require.True(t, truth.Serves(q.Item))
	require.NotContains(t, q.Avoid, e.Name)
	w.Started(e.Name, q.Item, w.now)
	w.running = append(w.running, run{e.Name, q.Item})
}

// check compares the router's counts with the list of what runs.
func (w *world) check(t require.TestingT) {
	count := make(map[string]int)
	ofAdapter := 0
	for _, r := range w.running {
		count[r.engine]++
		if r.item == adapted {
			ofAdapter++
		}
	}
	ejected := 0
	for _, e := range w.fleet.Engines {
		require.Equal(t, count[e.Name], w.InFlight(e.Name))
		require.LessOrEqual(t, count[e.Name], DefaultMaxInFlight)
		if w.now.Before(w.tracked(e.Name).ejectedUntil) {
			ejected++
		}
	}
	require.LessOrEqual(t, ofAdapter, adapterPart, "the adapter's part is exceeded")
	require.LessOrEqual(t, float64(ejected), DefaultMaxEjected*float64(len(w.fleet.Engines)), "too many ejected")
}

func (w *world) actions(o require.TestingT) map[string]func(*rapid.T) {
	engine := rapid.IntRange(0, 5)
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { w.check(o) },
		"pick": func(t *rapid.T) {
			q := Request{Item: base, Version: "v1", Prefix: Prefix(rapid.Uint64Range(0, 5).Draw(t, "prefix"))}
			if rapid.Bool().Draw(t, "adapter") {
				q.Item, q.Limited, q.MaxInFlight = adapted, true, adapterPart
			}
			q.Avoid = []string{w.fleet.Engines[engine.Draw(t, "avoid")].Name}
			w.pick(o, q)
		},
		"finish": func(t *rapid.T) {
			if len(w.running) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(w.running)-1).Draw(t, "run")
			r := w.running[i]
			w.running = slices.Delete(w.running, i, i+1)
			w.Finished(r.engine, r.item, rapid.IntRange(0, 3).Draw(t, "health") == 0, w.now)
		},
		"report": func(t *rapid.T) {
			e := &w.fleet.Engines[engine.Draw(t, "engine")]
			e.Running, e.Waiting = rapid.IntRange(0, 70).Draw(t, "running"), rapid.IntRange(0, 3).Draw(t, "waiting")
			e.ReportedAt, e.Reachable, e.Leaving = w.now, true, false
			w.publish()
		},
		"leave": func(t *rapid.T) {
			w.fleet.Engines[engine.Draw(t, "engine")].Leaving = true
			w.publish()
		},
		"lose": func(t *rapid.T) {
			w.fleet.Engines[engine.Draw(t, "engine")].Reachable = false
			w.publish()
		},
		"wait": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Reports come late, engines leave, die and fail requests in any order. A user
// would notice a request that was sent to an engine which cannot serve it, an
// adapter that slows down for everybody, or a fleet that ejected itself.
func TestChoicesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newWorld(faults{}).actions(t))
	})
}

func TestPlantedFaultsAreFound(t *testing.T) {
	walk := func(f faults) oracle.Walk {
		return func(t *rapid.T, o require.TestingT) { t.Repeat(newWorld(f).actions(o)) }
	}
	const seeds = 50
	require.Equal(t, oracle.NotFound, oracle.FirstSeed(seeds, walk(faults{})))
	for name, f := range map[string]faults{
		"keepLeaving": {keepLeaving: true},
		"ejectAll":    {ejectAll: true},
		"ignorePart":  {ignorePart: true},
	} {
		first := oracle.FirstSeed(seeds, walk(f))
		require.NotEqual(t, oracle.NotFound, first, "%s was not found", name)
		t.Logf("%s: found with seed %d", name, first)
	}
}

// burst picks n engines between two reports and returns the largest number that
// one engine got.
func burst(f faults, n int, q Request) int {
	w := newWorld(f)
	w.fleet.Engines[2].Running = 0
	for i := range w.fleet.Engines {
		if i != 2 {
			w.fleet.Engines[i].Running = 4
		}
	}
	w.publish()
	most := 0
	for range n {
		e, err := w.Pick(q, w.now, w.rng)
		if err != nil {
			continue
		}
		w.Started(e.Name, q.Item, w.now)
		most = max(most, w.InFlight(e.Name))
	}
	return most
}

// A flash crowd arrives between two load reports. An engine that was idle at
// the last one would get everybody, if the report alone were believed.
func TestBurstBetweenReportsIsSpread(t *testing.T) {
	const requests = 96
	require.LessOrEqual(t, burst(faults{}, requests, Request{Item: base}), 30)
	// 20 requests run at five of the six engines before the burst.
	bound := DefaultLoadFactor * ((requests+20)/6.0 + 1)
	popular := Request{Item: base, Prefix: 7}
	require.LessOrEqual(t, float64(burst(faults{}, requests, popular)), bound)
	require.Greater(t, float64(burst(faults{trustReports: true}, requests, popular)), bound)
}

// Only the prefixes of the engine that left may move: all the others would lose
// their caches.
func TestLeavingEngineMovesOnlyItsOwnPrefixes(t *testing.T) {
	w := newWorld(faults{})
	before := make(map[Prefix]string)
	for p := Prefix(1); p <= 200; p++ {
		e, err := w.Pick(Request{Item: base, Prefix: p}, w.now, w.rng)
		require.NoError(t, err)
		before[p] = e.Name
	}
	w.fleet.Engines[0].Leaving = true
	w.publish()
	for p, was := range before {
		e, err := w.Pick(Request{Item: base, Prefix: p}, w.now, w.rng)
		require.NoError(t, err)
		if was != "e0" {
			require.Equal(t, was, e.Name)
		}
	}
}

func TestVersionInForceGoesFirst(t *testing.T) {
	w := newWorld(faults{})
	w.fleet.Engines[3].Ready = map[Item][]string{base: {"v1", "v2"}}
	w.publish()
	for range 20 {
		e, err := w.Pick(Request{Item: base, Version: "v2"}, w.now, w.rng)
		require.NoError(t, err)
		require.Equal(t, "e3", e.Name)
	}
	_, err := w.Pick(Request{Item: Item{Model: "none"}}, w.now, w.rng)
	require.ErrorIs(t, err, ErrNoReplica)
}

func BenchmarkPick(b *testing.B) {
	for _, engines := range []int{20, 400, 12000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			f := &Fleet{}
			for i := range engines {
				item := Item{Model: fmt.Sprint(i % max(1, engines/20))}
				f.Engines = append(f.Engines, Engine{Name: fmt.Sprint("e", i), Reachable: true, ReportedAt: start, Ready: map[Item][]string{item: {"v"}}})
			}
			r := New(Options{MaxInFlight: 1 << 30})
			r.SetFleet(f)
			rng := rng(1)
			b.ReportAllocs()
			for i := range b.N {
				e, err := r.Pick(Request{Item: Item{Model: "0"}, Version: "v", Prefix: Prefix(i%1000 + 1)}, start, rng)
				if err != nil {
					b.Fatal(err)
				}
				r.Started(e.Name, Item{Model: "0"}, start)
				r.Finished(e.Name, Item{Model: "0"}, true, start)
			}
		})
	}
}
