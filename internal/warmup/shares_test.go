package warmup

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// maxDelayDifference is by how much the delays of two requests on their way differ at most.
const maxDelayDifference = 100 * time.Millisecond

// tolerance is how many requests within a second the platform tolerates at a cold upstream.
func tolerance(perSecond float64) float64 { return 1.5*perSecond + 5 }

// vmNames returns the names of n VMs.
func vmNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("vm-%d", i)
	}
	return out
}

func without(vms []string, vm string) []string {
	return slices.DeleteFunc(slices.Clone(vms), func(other string) bool { return other == vm })
}

// mostInASecond returns the largest number of requests that can arrive within a second from VMs each of
// which knows the VMs that known returns and sends as often as its share allows.
func mostInASecond(perSecond float64, vms []string, known func(vm string) []string) int {
	sum := 0
	for _, vm := range vms {
		others := without(known(vm), vm)
		shares := Divide(perSecond, len(others)+1)
		if shares.Holds("upstream", vm, others) {
			sum += 1 + int((time.Second+maxDelayDifference)/shares.Interval)
		}
	}
	return sum
}

// Every VM of a fleet sends a cold upstream as many requests as it may. An upstream that gets well
// above its rate fails and is cold once more.
func TestAllVMsTogetherKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.2, 40).Draw(t, "perSecond")
		vms := vmNames(rapid.IntRange(1, 120).Draw(t, "vms"))
		most := mostInASecond(perSecond, vms, func(string) []string { return vms })
		require.LessOrEqual(t, float64(most), tolerance(perSecond))
	})
}

// There are fewer VMs than the upstream bears requests in a second, and each sends one just over a second
// after the other. Two of a VM arrive within the same second.
func TestFewerVMsThanRequestsInASecondKeepTheRate(t *testing.T) {
	vms := vmNames(33)
	most := mostInASecond(40, vms, func(string) []string { return vms })
	require.LessOrEqual(t, float64(most), tolerance(40))
}

// VMs know different fleets: each misses some of the others, as after a restart of many. They choose
// different holders, and all of these together must stay below what is tolerated.
func TestVMsThatKnowDifferentFleetsStayBelowTheTolerance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := vmNames(65)
		missing := rapid.IntRange(0, 16).Draw(t, "missing")
		seed := rapid.IntRange(0, 1000).Draw(t, "seed")
		most := mostInASecond(6.5, vms, func(vm string) []string {
			known := slices.Clone(vms)
			slices.SortFunc(known, func(a, b string) int {
				x, y := Weight(fmt.Sprint(seed, vm), a), Weight(fmt.Sprint(seed, vm), b)
				if x < y {
					return -1
				}
				return 1
			})
			return known[missing:]
		})
		require.LessOrEqual(t, float64(most), tolerance(6.5))
	})
}

// The fleet falls into two halves that do not know each other. Each half has holders of its own.
func TestTwoHalvesOfAFleetStayBelowTheTolerance(t *testing.T) {
	vms := vmNames(65)
	most := mostInASecond(6.5, vms, func(vm string) []string {
		if slices.Index(vms, vm) < 32 {
			return vms[:32]
		}
		return vms[32:]
	})
	require.LessOrEqual(t, float64(most), tolerance(6.5))
}

// A VM joins or leaves. The holders of nearly all upstreams must stay, or two sets of holders would
// send at once during every restart.
func TestFewHoldersChangeWithTheFleet(t *testing.T) {
	before, after := vmNames(65), vmNames(66)
	changed := 0
	for i := range 100 {
		upstream := fmt.Sprint("upstream-", i)
		for _, vm := range before {
			shares := Divide(6.5, 65)
			if shares.Holds(upstream, vm, without(before, vm)) != shares.Holds(upstream, vm, without(after, vm)) {
				changed++
			}
		}
	}
	require.Less(t, changed, 30, "of 600 holders")
}
