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

func faultFreeOptions(seed uint64, vms int) quotaloop.Options {
	return quotaloop.Options{
		VMs: vms, Domains: 4, Rate: rate, Burst: burst, Seed: seed,
		Network: quotaloop.NetworkFaults{Delay: 200 * time.Microsecond, Jitter: 200 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: time.Millisecond, Jitter: time.Millisecond},
	}
}

func TestWholeBurstAtAnyVM(t *testing.T) {
	w := quotaloop.New(faultFreeOptions(1, 7))
	require.NoError(t, w.Run(15*time.Second))
	for i := range 7 {
		require.True(t, w.Acquire(quotaloop.VM(i), burst))
		require.NoError(t, w.Run(w.Now+5*time.Second))
		require.Equal(t, int64(i+1), w.Verdicts[quota.CauseNone], "verdicts by cause: %v; statistics of the VM: %+v", w.Verdicts, w.Stats(quotaloop.VM(i)))
	}
}

func stopStore(f *quotaloop.StoreFaults) { f.Down = true }

// admits reports whether a small request is admitted at a VM within one second.
func admits(t *testing.T, w *quotaloop.World, vm string) bool {
	t.Helper()
	before := w.Verdicts[quota.CauseNone]
	require.True(t, w.Acquire(vm, rate/100))
	require.NoError(t, w.Run(w.Now+time.Second))
	return w.Verdicts[quota.CauseNone] > before
}

// The key-value service fails two seconds after the VMs started. A VM that had a share
// of the rate but no witnesses yet would lose its share a term later, and every caller
// would be refused for the whole outage.
func TestOutageSoonAfterTheStart(t *testing.T) {
	for _, vms := range []int{2, 3, 7} {
		w := quotaloop.New(faultFreeOptions(1, vms))
		w.At(2*time.Second, func() { w.ChangeStoreFaults(stopStore) })
		require.NoError(t, w.Run(40*time.Second))
		for i := range vms {
			require.True(t, admits(t, w, quotaloop.VM(i)), "fleet of %d VMs: VM %d refuses a small request during the outage", vms, i)
		}
	}
}

// A VM restarts during an outage of the key-value service. It cannot read the
// assignment, and without asking other VMs for loans it would refuse its callers until
// the service recovers.
func TestRestartDuringAnOutageBorrows(t *testing.T) {
	w := quotaloop.New(faultFreeOptions(1, 3))
	w.At(15*time.Second, func() { w.ChangeStoreFaults(stopStore) })
	w.At(20*time.Second, func() { w.Restart(quotaloop.VM(1)) })
	require.NoError(t, w.Run(25*time.Second))
	require.True(t, admits(t, w, quotaloop.VM(1)))
}

// One VM of seven fails during an outage of the key-value service. The VMs whose witness
// it is must keep their shares; otherwise three sevenths of the rate would be lost
// instead of one.
func TestFailureDuringAnOutageCostsOneShare(t *testing.T) {
	w := quotaloop.New(faultFreeOptions(1, 7))
	w.At(15*time.Second, func() { w.ChangeStoreFaults(stopStore) })
	w.At(20*time.Second, func() { w.Kill(quotaloop.VM(2)) })
	require.NoError(t, w.Run(60*time.Second))
	require.True(t, w.Acquire(quotaloop.VM(5), burst*6/7-1))
	require.NoError(t, w.Run(w.Now+time.Second))
	require.Equal(t, int64(1), w.Verdicts[quota.CauseNone], "six sevenths of the burst were not admitted; verdicts by cause: %v", w.Verdicts)
}

// timeToFullBurst returns how long it takes until a VM admits a request of the whole
// burst, at most one minute. It tries every 500 ms.
func timeToFullBurst(t *testing.T, w *quotaloop.World, vm string) time.Duration {
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

// A VM fails permanently. Its share must be reassigned to the other VMs; otherwise the
// team would lose a seventh of its rate forever.
func TestDeadVMsShareIsReassigned(t *testing.T) {
	w := quotaloop.New(faultFreeOptions(1, 7))
	require.NoError(t, w.Run(20*time.Second))
	w.Kill(quotaloop.VM(2))
	took := timeToFullBurst(t, w, quotaloop.VM(5))
	t.Logf("the whole burst was available after at most %s", took)
	require.Less(t, took, 20*time.Second)
}

// All VMs restart at once, for example because of a faulty upgrade. Every record then
// names witnesses that no longer exist, and no record could be closed if each had to
// wait for that of another process.
func TestAllVMsRestartAtOnce(t *testing.T) {
	w := quotaloop.New(faultFreeOptions(1, 7))
	require.NoError(t, w.Run(20*time.Second))
	for i := range 7 {
		w.Restart(quotaloop.VM(i))
	}
	took := timeToFullBurst(t, w, quotaloop.VM(5))
	t.Logf("the whole burst was available after at most %s", took)
	require.Less(t, took, 20*time.Second)
}

// Most VMs of a large fleet hold no slots and borrow. A holder whose units are all on
// loan cannot transfer slots. Without a backoff it reads the receiver's record at every
// tick, a hundred times per second, which would slow down the key-value service for all
// of its clients.
func TestHolderThatCannotTransferLimitsItsReads(t *testing.T) {
	const vms, measuredSeconds = 60, 10
	w := quotaloop.New(quotaloop.Options{
		VMs: vms, Domains: 6, Rate: vms * 5_000, Burst: vms * 20_000, Seed: 1,
		Network: quotaloop.NetworkFaults{Delay: 500 * time.Microsecond},
		Store:   quotaloop.StoreFaults{Delay: 2 * time.Millisecond},
	})
	for i := range vms {
		at := time.Duration(i) * time.Millisecond
		var sendRequest func()
		sendRequest = func() {
			w.Acquire(quotaloop.VM(i), 340)
			at += 80 * time.Millisecond
			w.At(at, sendRequest)
		}
		w.At(at, sendRequest)
	}
	require.NoError(t, w.Run(10*time.Second))
	before := make([]int64, vms)
	for i := range vms {
		before[i] = w.Stats(quotaloop.VM(i)).Reads
	}
	require.NoError(t, w.Run((10+measuredSeconds)*time.Second))
	for i := range vms {
		reads := w.Stats(quotaloop.VM(i)).Reads - before[i]
		require.LessOrEqual(t, reads, int64(5*measuredSeconds), quotaloop.VM(i))
	}
}
