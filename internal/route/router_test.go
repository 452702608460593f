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
	baseItem    = Item{Model: "m"}
	adapterItem = Item{Model: "m", Adapter: "a"}
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// routerModel runs a Router next to a simple model: the engines' true state and a list
// of the requests in flight.
type routerModel struct {
	*Router
	now      time.Time
	fleet    Fleet
	rng      *rand.Rand
	inFlight []inFlightRequest
}

// inFlightRequest is a request in flight.
type inFlightRequest struct {
	engine string
	item   Item
}

func newRouterModel(f faults) *routerModel {
	m := &routerModel{Router: New(Options{EjectAfter: 1, EjectFor: time.Minute}), now: start, rng: rng(1)}
	m.faults = f
	for i := range 6 {
		m.fleet.Engines = append(m.fleet.Engines, Engine{
			Name: fmt.Sprint("e", i), Reachable: true, ReportedAt: start,
			Ready: map[Item][]string{baseItem: {"v1"}, adapterItem: {"v1"}},
		})
	}
	m.publish()
	return m
}

func (m *routerModel) publish() {
	m.SetFleet(&Fleet{Engines: slices.Clone(m.fleet.Engines)})
}

const adapterShare = 3

// pick checks a selected engine against its true state.
func (m *routerModel) pick(t require.TestingT, q Request) {
	e, err := m.Pick(q, m.now, m.rng)
	if err != nil {
		return
	}
	at := slices.IndexFunc(m.fleet.Engines, func(o Engine) bool { return o.Name == e.Name })
	truth := m.fleet.Engines[at]
	require.True(t, truth.Reachable, "an unreachable engine was selected")
	require.False(t, truth.Leaving, "a leaving engine was selected")
	require.True(t, truth.Serves(q.Item))
	require.NotContains(t, q.Avoid, e.Name)
	m.Started(e.Name, q.Item, m.now)
	m.inFlight = append(m.inFlight, inFlightRequest{e.Name, q.Item})
}

// check compares the router's counts with the model's requests in flight.
func (m *routerModel) check(t require.TestingT) {
	count := make(map[string]int)
	adapterCount := 0
	for _, r := range m.inFlight {
		count[r.engine]++
		if r.item == adapterItem {
			adapterCount++
		}
	}
	ejected := 0
	for _, e := range m.fleet.Engines {
		require.Equal(t, count[e.Name], m.InFlight(e.Name))
		require.LessOrEqual(t, count[e.Name], DefaultMaxInFlight)
		if m.now.Before(m.stateOf(e.Name).ejectedUntil) {
			ejected++
		}
	}
	require.LessOrEqual(t, adapterCount, adapterShare, "the adapter's requests in flight exceed this VM's share")
	require.LessOrEqual(t, float64(ejected), DefaultMaxEjected*float64(len(m.fleet.Engines)), "the ejected fraction exceeds DefaultMaxEjected")
}

func (m *routerModel) actions(o require.TestingT) map[string]func(*rapid.T) {
	engine := rapid.IntRange(0, 5)
	return map[string]func(*rapid.T){
		"": func(*rapid.T) { m.check(o) },
		"pick": func(t *rapid.T) {
			q := Request{Item: baseItem, Version: "v1", Prefix: Prefix(rapid.Uint64Range(0, 5).Draw(t, "prefix"))}
			if rapid.Bool().Draw(t, "adapter") {
				q.Item, q.Limited, q.MaxInFlight = adapterItem, true, adapterShare
			}
			q.Avoid = []string{m.fleet.Engines[engine.Draw(t, "avoid")].Name}
			m.pick(o, q)
		},
		"finish": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "run")
			r := m.inFlight[i]
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			m.Finished(r.engine, r.item, rapid.IntRange(0, 3).Draw(t, "health") == 0, m.now)
		},
		"report": func(t *rapid.T) {
			e := &m.fleet.Engines[engine.Draw(t, "engine")]
			e.Running, e.Waiting = rapid.IntRange(0, 70).Draw(t, "running"), rapid.IntRange(0, 3).Draw(t, "waiting")
			e.ReportedAt, e.Reachable, e.Leaving = m.now, true, false
			m.publish()
		},
		"leave": func(t *rapid.T) {
			m.fleet.Engines[engine.Draw(t, "engine")].Leaving = true
			m.publish()
		},
		"lose": func(t *rapid.T) {
			m.fleet.Engines[engine.Draw(t, "engine")].Reachable = false
			m.publish()
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Guards the router's invariants when reports come late and engines leave, die and
// fail requests in any order: no request goes to an engine that cannot serve it, no
// adapter exceeds this VM's share (it would slow down for every caller), and the fleet
// does not eject itself.
func TestRouterKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(newRouterModel(faults{}).actions(t))
	})
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	walk := func(f faults) oracle.Walk {
		return func(t *rapid.T, o require.TestingT) { t.Repeat(newRouterModel(f).actions(o)) }
	}
	const seeds = 50
	require.Equal(t, oracle.NotFound, oracle.FirstSeed(seeds, walk(faults{})))
	for name, f := range map[string]faults{
		"keepLeaving": {keepLeaving: true},
		"ejectAll":    {ejectAll: true},
		"ignorePart":  {ignorePart: true},
	} {
		first := oracle.FirstSeed(seeds, walk(f))
		require.NotEqual(t, oracle.NotFound, first, "no seed made the oracle detect the fault %s", name)
		t.Logf("%s: found with seed %d", name, first)
	}
}

// maxPerEngine routes n requests between two load reports and returns the largest
// number of requests that one engine received.
func maxPerEngine(f faults, n int, q Request) int {
	m := newRouterModel(f)
	m.fleet.Engines[2].Running = 0
	for i := range m.fleet.Engines {
		if i != 2 {
			m.fleet.Engines[i].Running = 4
		}
	}
	m.publish()
	largest := 0
	for range n {
		e, err := m.Pick(q, m.now, m.rng)
		if err != nil {
			continue
		}
		m.Started(e.Name, q.Item, m.now)
		largest = max(largest, m.InFlight(e.Name))
	}
	return largest
}

// A burst arrives between two load reports. If the router used the reports alone, the
// engine that was idle in its last report would receive the whole burst.
func TestBurstBetweenReportsIsSpread(t *testing.T) {
	const requests = 96
	require.LessOrEqual(t, maxPerEngine(faults{}, requests, Request{Item: baseItem}), 30)
	// 20 requests run at five of the six engines before the burst.
	bound := DefaultLoadFactor * ((requests+20)/6.0 + 1)
	popular := Request{Item: baseItem, Prefix: 7}
	require.LessOrEqual(t, float64(maxPerEngine(faults{}, requests, popular)), bound)
	require.Greater(t, float64(maxPerEngine(faults{trustReports: true}, requests, popular)), bound)
}

// When an engine leaves, only its own prefixes may move to other engines: any other
// prefix that moved would lose its cache.
func TestLeavingEngineMovesOnlyItsOwnPrefixes(t *testing.T) {
	m := newRouterModel(faults{})
	before := make(map[Prefix]string)
	for p := Prefix(1); p <= 200; p++ {
		e, err := m.Pick(Request{Item: baseItem, Prefix: p}, m.now, m.rng)
		require.NoError(t, err)
		before[p] = e.Name
	}
	m.fleet.Engines[0].Leaving = true
	m.publish()
	for p, was := range before {
		e, err := m.Pick(Request{Item: baseItem, Prefix: p}, m.now, m.rng)
		require.NoError(t, err)
		if was != "e0" {
			require.Equal(t, was, e.Name)
		}
	}
}

func TestVersionInForceIsPreferred(t *testing.T) {
	m := newRouterModel(faults{})
	m.fleet.Engines[3].Ready = map[Item][]string{baseItem: {"v1", "v2"}}
	m.publish()
	for range 20 {
		e, err := m.Pick(Request{Item: baseItem, Version: "v2"}, m.now, m.rng)
		require.NoError(t, err)
		require.Equal(t, "e3", e.Name)
	}
	_, err := m.Pick(Request{Item: Item{Model: "none"}}, m.now, m.rng)
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
