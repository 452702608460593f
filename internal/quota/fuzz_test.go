package quota_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/quota"
	"github.com/chestnutarch/chestnutarch/internal/quota/quotaloop"
)

// TestMain fixes the seed so that every run gives the same result. For long fuzzing,
// -rapid.seed and -rapid.checks are set on the command line, see docs/TESTING.md.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "30")
	flag.Parse()
	os.Exit(m.Run())
}

// trial describes one simulated run: the size of the fleet, its network and a sequence
// of faults.
type trial struct {
	options quotaloop.Options
	// load is the total demand in percent of the rate.
	load  int
	steps []faultStep
}

type faultStep struct {
	kind   int
	vm     int
	other  int
	length time.Duration
	gap    time.Duration
}

// The kinds of fault step.
const (
	kill = iota
	restart
	pause
	pauseMono
	cutBoth
	cutOneWay
	outage
	lostAnswers
	lateWrites
	wallAhead
	leave
	newLimits
	settle
	lossyNetwork
	storeCut
	isolate
	kindCount
)

func drawTrial(t *rapid.T) trial {
	vms := rapid.IntRange(1, 7).Draw(t, "vms")
	tr := trial{
		options: faultFreeOptions(rapid.Uint64().Draw(t, "seed"), vms),
		load:    rapid.SampledFrom([]int{90, 150, 400}).Draw(t, "load"),
	}
	tr.options.Tick = 20 * time.Millisecond
	// With a small burst, the oracle detects a small over-admission too.
	tr.options.Burst = rapid.SampledFrom([]int64{burst, burst / 10}).Draw(t, "burst")
	tr.options.Store.Delay = rapid.SampledFrom([]time.Duration{time.Millisecond, 150 * time.Millisecond}).Draw(t, "store delay")
	tr.options.Network.Repeat = rapid.SampledFrom([]int{0, 20, 300}).Draw(t, "repeat")
	tr.options.Network.Loss = rapid.SampledFrom([]int{0, 10, 200}).Draw(t, "loss")
	tr.options.Network.Late = rapid.SampledFrom([]int{0, 50}).Draw(t, "late")
	tr.options.Network.LateBy = rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 8 * time.Second}).Draw(t, "late by")
	for range rapid.IntRange(1, 14).Draw(t, "steps") {
		tr.steps = append(tr.steps, faultStep{
			kind:   rapid.IntRange(0, kindCount-1).Draw(t, "kind"),
			vm:     rapid.IntRange(0, vms-1).Draw(t, "vm"),
			other:  rapid.IntRange(0, vms-1).Draw(t, "other"),
			length: time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond,
			gap:    time.Duration(rapid.SampledFrom([]int{0, 100, 2_000, 6_000, 12_000}).Draw(t, "gap")) * time.Millisecond,
		})
	}
	return tr
}

// run runs a trial with the given faults injected, and returns the first violation of
// the bound on admitted tokens.
func (tr trial) run(faults ...quota.Fault) error {
	options := tr.options
	options.OnNewMachine = func(m *quota.Machine) {
		for _, f := range faults {
			m.InjectFault(f)
		}
	}
	w := quotaloop.New(options)
	rng := rand.New(rand.NewPCG(options.Seed, 2))
	tr.scheduleArrivals(w, rng)
	at := 12 * time.Second
	for _, s := range tr.steps {
		at += s.gap
		w.At(at, func() { s.apply(w, rng) })
	}
	return w.Run(at + 25*time.Second)
}

// scheduleArrivals sends one request and schedules the next. Phases of 3 s with all
// requests at one VM alternate with phases with requests at random VMs.
func (tr trial) scheduleArrivals(w *quotaloop.World, rng *rand.Rand) {
	size := int64(1 + rng.IntN(rate/10))
	if rng.IntN(20) == 0 {
		size = 1 + rng.Int64N(tr.options.Burst)
	}
	vm := rng.IntN(tr.options.VMs)
	if int(w.Now/(3*time.Second))%2 == 0 {
		vm = int(w.Now/(6*time.Second)) % tr.options.VMs
	}
	w.Acquire(quotaloop.VM(vm), size)
	mean := time.Duration(size) * time.Second * 100 / time.Duration(rate*tr.load)
	w.At(w.Now+time.Duration(rng.ExpFloat64()*float64(mean)), func() { tr.scheduleArrivals(w, rng) })
}

func (s faultStep) apply(w *quotaloop.World, rng *rand.Rand) {
	vm, other := quotaloop.VM(s.vm), quotaloop.VM(s.other)
	switch s.kind {
	case kill:
		w.Kill(vm)
	case restart:
		w.Restart(vm)
	case pause, pauseMono:
		w.Pause(vm, s.length, s.kind == pauseMono)
	case cutBoth:
		w.CutLink(vm, other)
		w.CutLink(other, vm)
		w.At(w.Now+s.length, func() { w.RestoreLink(vm, other); w.RestoreLink(other, vm) })
	case cutOneWay:
		w.CutLink(vm, other)
		w.At(w.Now+s.length, func() { w.RestoreLink(vm, other) })
	case outage:
		w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Down = true })
		w.At(w.Now+s.length, func() { w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Down = false }) })
	case lostAnswers:
		w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Lost = 400 })
		w.At(w.Now+s.length, func() { w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Lost = 0 }) })
	case lateWrites:
		w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Late, f.LateBy = 400, s.length })
		w.At(w.Now+s.length, func() { w.ChangeStoreFaults(func(f *quotaloop.StoreFaults) { f.Late = 0 }) })
	case wallAhead:
		w.ShiftWallClock(vm, s.length)
	case leave:
		w.Leave(vm)
	case newLimits:
		w.SetLimits(rate/2+rng.Int64N(rate), burst/10+rng.Int64N(burst), time.Second)
	case settle:
		w.Settle(vm, rng.Int64N(2*rate)-rate)
	case storeCut:
		w.Isolate(vm, false)
		w.At(w.Now+s.length, func() { w.ReconnectStore(vm) })
	case isolate:
		w.Isolate(vm, true)
		w.At(w.Now+s.length, func() { w.ReconnectPeers(vm) })
		w.At(w.Now+2*s.length, func() { w.ReconnectStore(vm) })
	case lossyNetwork:
		w.Network.Loss = 300
		w.At(w.Now+s.length, func() { w.Network.Loss = 0 })
	}
}

// Guards against admitting more than a team's rate and burst under any sequence of
// faults, also overlapping ones. Such a team would slow down every other team.
func TestNeverMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, drawTrial(t).run())
	})
}
