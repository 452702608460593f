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
			Ready: true, Capacity: 100, LastHeartbeat: start,
		}
	}
	return vms
}

// flashCrowd answers a number of callers between two heartbeats and returns, for
// each VM, the number of answers in which it was first.
func flashCrowd(f faults, callers int, domain string, vms []VM) map[string]int {
	b := New(Options{})
	b.faults = f
	b.SetVMs(vms)
	rng := rand.New(rand.NewPCG(1, 1))
	firsts := make(map[string]int)
	for range callers {
		answer, err := b.Answer(domain, 1, rng)
		if err != nil {
			continue
		}
		firsts[answer.VMs[0].Name]++
	}
	return firsts
}

func maxCount(counts map[string]int) int {
	largest := 0
	for _, n := range counts {
		largest = max(largest, n)
	}
	return largest
}

// Thousands of callers arrive within a minute, and all of them ask the same VM before the
// next heartbeat. Neither the VM that was idle at the last heartbeat nor the callers'
// failure domain may receive all of them.
func TestFlashCrowdIsDistributed(t *testing.T) {
	const callers = 420
	vms := fleet(7)
	require.Less(t, maxCount(flashCrowd(faults{}, callers, "", vms)), 90)
	require.Less(t, maxCount(flashCrowd(faults{}, callers, "d0", vms)), 110)
	for i := range vms {
		vms[i].InFlight = 95
	}
	vms[3].InFlight = 0
	require.Less(t, maxCount(flashCrowd(faults{}, callers, "", vms)), 150)
	require.Greater(t, maxCount(flashCrowd(faults{ignoreCounts: true}, callers, "", vms)), 300)
}

// randomWalk applies random changes to the VMs and checks each answer against the
// current VMs.
func randomWalk(f faults) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		b := New(Options{})
		b.faults = f
		vms := fleet(7)
		now := start
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		vmIndex := rapid.IntRange(0, len(vms)-1)
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				v := &vms[vmIndex.Draw(t, "vm")]
				now = now.Add(time.Second)
				v.LastHeartbeat, v.InFlight, v.Ready = now, rapid.Int64Range(0, 300).Draw(t, "in flight"), rapid.Bool().Draw(t, "ready")
				b.SetVMs(vms)
			},
			"leave": func(t *rapid.T) {
				vms[vmIndex.Draw(t, "vm")].Leaving = rapid.Bool().Draw(t, "leaving")
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
	notLeaving, ready := 0, 0
	for _, v := range vms {
		if !v.Leaving {
			notLeaving++
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
		current := vms[slices.IndexFunc(vms, func(t VM) bool { return t.Name == v.Name })]
		require.False(o, current.Leaving, "a leaving VM was returned")
		require.True(o, current.Ready || ready == 0, "a VM that is not ready was returned although ready VMs exist")
		require.False(o, slices.ContainsFunc(answer.VMs[:i], func(t VM) bool { return t.Name == v.Name }))
	}
	require.Positive(o, notLeaving)
}

// VMs become ready, leave and fill up. A caller whose answer contains a VM that does
// not accept callers would fail to connect.
func TestAnswersContainOnlyVMsThatAcceptCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Options{})
		_, err := b.Answer("", 1, rand.New(rand.NewPCG(0, 0)))
		require.ErrorIs(t, err, ErrNoVM)
		randomWalk(faults{})(t, t)
	})
}

func TestOracleDetectsInjectedFault(t *testing.T) {
	first := oracle.FirstSeed(50, randomWalk(faults{includeLeaving: true}))
	require.NotEqual(t, oracle.NotFound, first)
	t.Logf("includeLeaving: detected with seed %d", first)
}

func TestStopWaitsForCachedAnswers(t *testing.T) {
	s := Stop{}
	require.Equal(t, Serving, s.Phase(start, 0))
	s = Stop{StartedAt: start, Lifetime: 20 * time.Second, PropagationDelay: 2 * time.Second}
	require.Equal(t, Unadvertised, s.Phase(start.Add(21*time.Second), 0))
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
