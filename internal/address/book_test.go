package address

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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(n int) []VM {
	vms := make([]VM, n)
	for i := range vms {
		vms[i] = VM{
			Name: fmt.Sprint("vm", i), URL: fmt.Sprintf("https://10.0.0.%d:443", i), FailureDomain: fmt.Sprint("d", i%4),
			Ready: true, Capacity: 100, HeardAt: start,
		}
	}
	return vms
}

// flashCrowd lets callers ask between two heartbeats and returns how many each VM
// got as first address.
func flashCrowd(f faults, callers int, domain string, vms []VM) map[string]int {
	b := New(Options{})
	b.faults = f
	b.SetVMs(vms)
	rng := rand.New(rand.NewPCG(1, 1))
	got := make(map[string]int)
	for range callers {
		answer, err := b.Answer(domain, 1, rng)
		if err != nil {
			continue
		}
		got[answer.VMs[0].Name]++
	}
	return got
}

func most(got map[string]int) int {
	top := 0
	for _, n := range got {
		top = max(top, n)
	}
	return top
}

// Thousands of callers come within a minute, and all of them ask the same VM before the
// next heartbeat. The VM that was idle at the last one must not get them all,
// nor may the callers' own failure domain.
func TestFlashCrowdIsSpread(t *testing.T) {
	const callers = 420
	vms := fleet(7)
	require.Less(t, most(flashCrowd(faults{}, callers, "", vms)), 90)
	require.Less(t, most(flashCrowd(faults{}, callers, "d0", vms)), 110)
	for i := range vms {
		vms[i].InFlight = 95
	}
	vms[3].InFlight = 0
	require.Less(t, most(flashCrowd(faults{}, callers, "", vms)), 150)
	require.Greater(t, most(flashCrowd(faults{forgetNamed: true}, callers, "", vms)), 300)
}

// walk checks each answer against the VMs as they are.
func walk(f faults) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		b := New(Options{})
		b.faults = f
		vms := fleet(7)
		now := start
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		one := rapid.IntRange(0, len(vms)-1)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				v := &vms[one.Draw(t, "vm")]
				now = now.Add(time.Second)
				v.HeardAt, v.InFlight, v.Ready = now, rapid.Int64Range(0, 300).Draw(t, "in flight"), rapid.Bool().Draw(t, "ready")
				b.SetVMs(vms)
			},
			"leave": func(t *rapid.T) {
				vms[one.Draw(t, "vm")].Leaving = rapid.Bool().Draw(t, "leaving")
				b.SetVMs(vms)
			},
			"ask": func(t *rapid.T) {
				answer, err := b.Answer(rapid.SampledFrom([]string{"", "d0", "d9"}).Draw(t, "domain"), 7, rng)
				checkAnswer(o, vms, answer, err)
				require.LessOrEqual(o, answer.Lifetime, b.MaxLifetime())
			},
		})
	}
}

func checkAnswer(o require.TestingT, vms []VM, answer Answer, err error) {
	staying, ready := 0, 0
	for _, v := range vms {
		if !v.Leaving {
			staying++
		}
		if v.Ready && !v.Leaving {
			ready++
		}
	}
	if err != nil {
		require.ErrorIs(o, err, ErrNoVM)
		return
	}
	for i, v := range answer.VMs {
		truth := vms[slices.IndexFunc(vms, func(t VM) bool { return t.Name == v.Name })]
		require.False(o, truth.Leaving, "a leaving VM was named")
		require.True(o, truth.Ready || ready == 0, "a VM that is not ready was named beside ready ones")
		require.False(o, slices.ContainsFunc(answer.VMs[:i], func(t VM) bool { return t.Name == v.Name }))
	}
	require.Positive(o, staying)
}

// VMs come, go and fill up. A caller would notice an address that takes nobody.
func TestAnswersNameOnlyVMsThatTakeCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{})
		_, err := b.Answer("", 1, rand.New(rand.NewPCG(0, 0)))
		require.ErrorIs(t, err, ErrNoVM)
		walk(faults{})(t, t)
	})
}

func TestPlantedFaultIsFound(t *testing.T) {
	first := oracle.FirstSeed(50, walk(faults{keepLeaving: true}))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("keepLeaving: found with seed %d", first)
}

func TestStopWaitsForOldAnswers(t *testing.T) {
	s := Stop{}
	require.Equal(t, Serving, s.Phase(start, 0))
	s = Stop{StartedAt: start, Lifetime: 20 * time.Second, Spread: 2 * time.Second}
	require.Equal(t, Unnamed, s.Phase(start.Add(21*time.Second), 0))
	require.Equal(t, Closing, s.Phase(start.Add(22*time.Second), 1))
	require.Equal(t, Stopped, s.Phase(start.Add(22*time.Second), 0))
}

func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{7, 42, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			book := New(Options{})
			book.SetVMs(fleet(n))
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = book.Answer("d1", 1, rng)
			}
		})
	}
}
