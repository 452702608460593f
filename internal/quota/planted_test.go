package quota_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
)

var seedsToSearch = flag.Int("planted.search", 0, "number of seeds to search for each planted fault")

// drawSuccession draws trials in which VMs are considered failed and come back. It uses
// few VMs, a load of several times the rate and a small burst, so that the use of expired
// authority leads to over-admission.
func drawSuccession(t *rapid.T) trial {
	vms := rapid.IntRange(2, 4).Draw(t, "vms")
	tr := trial{options: faultFreeOptions(rapid.Uint64().Draw(t, "seed"), vms), load: 400}
	tr.options.Tick = 20 * time.Millisecond
	tr.options.Burst = burst / 10
	tr.options.Store = quotaloop.StoreFaults{Delay: 150 * time.Millisecond}
	kinds := []int{pause, pauseMono, isolate, storeCut, outage, restart, lateWrites}
	for range rapid.IntRange(1, 4).Draw(t, "steps") {
		tr.steps = append(tr.steps, faultStep{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:     rapid.IntRange(0, vms-1).Draw(t, "vm"),
			other:  rapid.IntRange(0, vms-1).Draw(t, "other"),
			length: time.Duration(rapid.IntRange(6_000, 20_000).Draw(t, "ms")) * time.Millisecond,
			gap:    time.Duration(rapid.SampledFrom([]int{0, 300, 5_000, 12_000}).Draw(t, "gap")) * time.Millisecond,
		})
	}
	return tr
}

// drawSlotTransfers draws trials in which slots are transferred repeatedly while answers
// of the key-value service are late or lost.
func drawSlotTransfers(t *rapid.T) trial {
	tr := drawSuccession(t)
	tr.options.Store.Lost = 300
	for i := range tr.steps {
		tr.steps[i].kind = restart
		tr.steps[i].gap = 12 * time.Second
	}
	return tr
}

// A VM is paused or disconnected, the others take over its share, and it resumes. If it
// still used its share, the team would get that share twice.
func TestSuccessionNeverUsesAShareTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, drawSuccession(t).run())
		require.NoError(t, drawSlotTransfers(t).run())
	})
}

// plantedFaults lists each fault with a seed whose trial exposes it. The same trial must
// pass without the fault; otherwise the oracle would have found something else.
var plantedFaults = []struct {
	fault quota.Fault
	draw  func(*rapid.T) trial
	seed  int
}{
	{quota.FaultAuthorityFromAnswer, drawSuccession, 140},
	{quota.FaultNoClosingWait, drawSuccession, 8},
	{quota.FaultLendBeforeTaking, drawTrial, 1},
	{quota.FaultAcceptRepeated, drawTrial, 1},
	{quota.FaultGiveBeforeStopping, drawSlotTransfers, 13},
	{quota.FaultPromiseAfterConsent, drawSuccession, 33},
}

// Breaks each rule on purpose and checks that the oracle detects it. An oracle that
// misses an injected fault would miss the same fault made by mistake.
func TestOracleFindsPlantedFaults(t *testing.T) {
	for _, p := range plantedFaults {
		t.Run(string(p.fault), func(t *testing.T) {
			tr := rapid.Custom(p.draw).Example(p.seed)
			require.NoError(t, tr.run())
			var overAdmission *quotaloop.OverAdmission
			require.ErrorAs(t, tr.run(p.fault), &overAdmission)
		})
	}
}

// TestSearchPlantedFaults searches for new seeds after the order of the simulation's
// random choices has changed. It runs only with -planted.search.
func TestSearchPlantedFaults(t *testing.T) {
	if *seedsToSearch == 0 {
		return
	}
	for _, p := range plantedFaults {
		t.Run(string(p.fault), func(t *testing.T) {
			t.Parallel()
			for seed := range *seedsToSearch {
				if rapid.Custom(p.draw).Example(seed).run(p.fault) != nil {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Errorf("no violation found with any of %d seeds", *seedsToSearch)
		})
	}
}
