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

var searchSeeds = flag.Int("planted.search", 0, "number of seeds to search for each planted fault")

// drawSuccession draws trials in which VMs are taken for dead and come back: few
// VMs, several times the rate and a small burst, so that authority that outlives
// its end shows.
func drawSuccession(t *rapid.T) trial {
	vms := rapid.IntRange(2, 4).Draw(t, "vms")
	tr := trial{options: calm(rapid.Uint64().Draw(t, "seed"), vms), load: 400}
	tr.options.Tick = 20 * time.Millisecond
	tr.options.Burst = burst / 10
	tr.options.Store = quotaloop.StoreFaults{Delay: 150 * time.Millisecond}
	kinds := []int{pause, pauseMono, isolate, storeCut, outage, restart, lateWrites}
	for range rapid.IntRange(1, 4).Draw(t, "steps") {
		tr.steps = append(tr.steps, step{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:     rapid.IntRange(0, vms-1).Draw(t, "vm"),
			other:  rapid.IntRange(0, vms-1).Draw(t, "other"),
			length: time.Duration(rapid.IntRange(6_000, 20_000).Draw(t, "ms")) * time.Millisecond,
			gap:    time.Duration(rapid.SampledFrom([]int{0, 300, 5_000, 12_000}).Draw(t, "gap")) * time.Millisecond,
		})
	}
	return tr
}

// drawSharing draws trials in which slots change hands again and again while
// answers of the key-value service are late or lost.
func drawSharing(t *rapid.T) trial {
	tr := drawSuccession(t)
	tr.options.Store.Lost = 300
	for i := range tr.steps {
		tr.steps[i].kind = restart
		tr.steps[i].gap = 12 * time.Second
	}
	return tr
}

// A VM is paused or cut off, the others take its part, and it wakes. If it still
// used its part, the team would get that part twice.
func TestSuccessionNeverUsesAPartTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, drawSuccession(t).run())
		require.NoError(t, drawSharing(t).run())
	})
}

// planted lists each fault with a seed that shows it. The same trial without the
// fault must pass, or the oracle would have found something else.
var planted = []struct {
	fault  quota.Fault
	trials func(*rapid.T) trial
	seed   int
}{
	{quota.FaultAuthorityFromAnswer, drawSuccession, 140},
	{quota.FaultNoClosingWait, drawSuccession, 8},
	{quota.FaultLendBeforeTaking, drawTrial, 1},
	{quota.FaultAcceptRepeated, drawTrial, 1},
	{quota.FaultGiveBeforeStopping, drawSharing, 13},
	{quota.FaultPromiseAfterConsent, drawSuccession, 33},
}

// A rule is broken on purpose. An oracle that did not notice would not notice the
// same mistake made by oversight either.
func TestOracleFindsPlantedFaults(t *testing.T) {
	for _, p := range planted {
		t.Run(string(p.fault), func(t *testing.T) {
			tr := rapid.Custom(p.trials).Example(p.seed)
			require.NoError(t, tr.run())
			var over *quotaloop.OverAdmission
			require.ErrorAs(t, tr.run(p.fault), &over)
		})
	}
}

// TestSearchPlantedFaults looks for seeds again after the order of the loop's
// random choices has changed. It runs only with -planted.search.
func TestSearchPlantedFaults(t *testing.T) {
	if *searchSeeds == 0 {
		return
	}
	for _, p := range planted {
		t.Run(string(p.fault), func(t *testing.T) {
			t.Parallel()
			for seed := range *searchSeeds {
				if rapid.Custom(p.trials).Example(seed).run(p.fault) != nil {
					t.Logf("seed %d", seed)
					return
				}
			}
			t.Errorf("none of %d seeds finds it", *searchSeeds)
		})
	}
}
