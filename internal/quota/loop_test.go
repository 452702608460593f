package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
)

const (
	rate  = 10_000
	burst = 20_000
)

func calm(seed uint64, vms int) quotaloop.Options {
	return quotaloop.Options{
		VMs: vms, Domains: 4, Rate: rate, Burst: burst, Seed: seed,
		Network: quotaloop.NetworkFaults{Delay: 200 * time.Microsecond, Jitter: 200 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: time.Millisecond, Jitter: time.Millisecond},
	}
}

func TestWholeBurstAtAnyVM(t *testing.T) {
	w := quotaloop.New(calm(1, 7))
	require.NoError(t, w.Run(15*time.Second))
	for i := range 7 {
		require.True(t, w.Acquire(quotaloop.VM(i), burst))
		require.NoError(t, w.Run(w.Now+5*time.Second))
		require.Equal(t, int64(i+1), w.Verdicts[quota.CauseNone], "%v %+v", w.Verdicts, w.Stats(quotaloop.VM(i)))
	}
}

func down(f *quotaloop.StoreFaults) { f.Down = true }

// admits reports whether a small request is admitted at a VM.
func admits(t *testing.T, w *quotaloop.World, vm string) bool {
	t.Helper()
	before := w.Verdicts[quota.CauseNone]
	require.True(t, w.Acquire(vm, rate/100))
	require.NoError(t, w.Run(w.Now+time.Second))
	return w.Verdicts[quota.CauseNone] > before
}

// The key-value service goes away two seconds after the VMs started. A VM that
// had a part of the rate but no witnesses yet would lose it a term later, and
// every caller would be refused for the whole outage.
func TestOutageSoonAfterTheStart(t *testing.T) {
	for _, vms := range []int{2, 3, 7} {
		w := quotaloop.New(calm(1, vms))
		w.At(2*time.Second, func() { w.SetStore(down) })
		require.NoError(t, w.Run(40*time.Second))
		for i := range vms {
			require.True(t, admits(t, w, quotaloop.VM(i)), "%d VMs, VM %d", vms, i)
		}
	}
}

// A VM is restarted while the key-value service is out. It cannot read who holds
// what, and without asking around it would refuse its callers until the service
// is back.
func TestRestartDuringAnOutageBorrows(t *testing.T) {
	w := quotaloop.New(calm(1, 3))
	w.At(15*time.Second, func() { w.SetStore(down) })
	w.At(20*time.Second, func() { w.Restart(quotaloop.VM(1)) })
	require.NoError(t, w.Run(25*time.Second))
	require.True(t, admits(t, w, quotaloop.VM(1)))
}

// One VM of seven dies and the service is out. The VMs that it witnesses for must
// keep their parts, or three sevenths of the rate would be lost instead of one.
func TestDeathDuringAnOutageCostsOnePart(t *testing.T) {
	w := quotaloop.New(calm(1, 7))
	w.At(15*time.Second, func() { w.SetStore(down) })
	w.At(20*time.Second, func() { w.Kill(quotaloop.VM(2)) })
	require.NoError(t, w.Run(60*time.Second))
	require.True(t, w.Acquire(quotaloop.VM(5), burst*6/7-1))
	require.NoError(t, w.Run(w.Now+time.Second))
	require.Equal(t, int64(1), w.Verdicts[quota.CauseNone], "%v", w.Verdicts)
}

// wholeAgain returns how long after now the whole burst can be had at a VM.
func wholeAgain(t *testing.T, w *quotaloop.World, vm string) time.Duration {
	t.Helper()
	start, before := w.Now, w.Verdicts[quota.CauseNone]
	for w.Now < start+time.Minute {
		require.True(t, w.Acquire(vm, burst))
		require.NoError(t, w.Run(w.Now+500*time.Millisecond))
		if w.Verdicts[quota.CauseNone] > before {
			break
		}
	}
	return w.Now - start
}

// A VM dies for good. Its part must come back to the others, or the team would
// stay a seventh short for ever.
func TestDeadVMsPartComesBack(t *testing.T) {
	w := quotaloop.New(calm(1, 7))
	require.NoError(t, w.Run(20*time.Second))
	w.Kill(quotaloop.VM(2))
	took := wholeAgain(t, w, quotaloop.VM(5))
	t.Logf("whole again after %s, at the latest", took)
	require.Less(t, took, 20*time.Second)
}

// All VMs are restarted at once, for example by a faulty upgrade. Every record
// names witnesses that are gone, and none could be closed if each waited for
// another's.
func TestAllVMsRestartAtOnce(t *testing.T) {
	w := quotaloop.New(calm(1, 7))
	require.NoError(t, w.Run(20*time.Second))
	for i := range 7 {
		w.Restart(quotaloop.VM(i))
	}
	took := wholeAgain(t, w, quotaloop.VM(5))
	t.Logf("whole again after %s, at the latest", took)
	require.Less(t, took, 20*time.Second)
}

// Most VMs of a large fleet hold no part and borrow. A holder whose units are all
// on loan cannot give slots away; one that looked at the receiver's record at
// every tick made a hundred reads a second, and the key-value service would have
// been slow for everybody.
func TestHolderThatCannotGiveLeavesTheServiceAlone(t *testing.T) {
	const vms, measured = 60, 10
	w := quotaloop.New(quotaloop.Options{
		VMs: vms, Domains: 6, Rate: vms * 5_000, Burst: vms * 20_000, Seed: 1,
		Network: quotaloop.NetworkFaults{Delay: 500 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: 2 * time.Millisecond},
	})
	for i := range vms {
		at := time.Duration(i) * time.Millisecond
		var ask func()
		ask = func() {
			w.Acquire(quotaloop.VM(i), 340)
			at += 80 * time.Millisecond
			w.At(at, ask)
		}
		w.At(at, ask)
	}
	require.NoError(t, w.Run(10*time.Second))
	before := make([]int64, vms)
	for i := range vms {
		before[i] = w.Stats(quotaloop.VM(i)).Reads
	}
	require.NoError(t, w.Run((10+measured)*time.Second))
	for i := range vms {
		reads := w.Stats(quotaloop.VM(i)).Reads - before[i]
		require.LessOrEqual(t, reads, int64(5*measured), quotaloop.VM(i))
	}
}
