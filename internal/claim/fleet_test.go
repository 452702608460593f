package claim

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "200", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	vms          = 3
	testLifetime = time.Hour
	keys         = 12
)

// storedValue is the value of one key of the simulated key-value service.
type storedValue struct {
	revision int64
	value    []byte
}

// vm is one simulated VM: its log, its attempts, and its call in flight.
type vm struct {
	log      *Log
	attempts *Attempts
	inFlight *Call
	starts   int
	// undecided holds the claims that have no verdict yet, by operation ID.
	undecided map[uint64]Record
	// granted holds the claims that may be dispatched, oldest first.
	granted []Record
}

// plantedFaults are the faults that a simulation runs with.
type plantedFaults struct {
	faults
	promiseAnyway bool
	holdForEver   bool
}

// simulation runs several VMs against one key-value service. The draws decide for each
// call whether it is executed, delayed or lost.
type simulation struct {
	t        require.TestingT
	faults   plantedFaults
	now      time.Time
	revision int64
	stored   []storedValue
	vms      []*vm
	// delayedSwaps are swaps that the service has not executed yet and whose sender
	// no longer waits for them.
	delayedSwaps []Call
	nextID       uint64
	// executions holds the last execution of each key.
	executions map[Key]execution
	// reportedNotRun holds the attempts whose caller was answered "not run".
	reportedNotRun map[string]bool
}

// execution is one execution of an action.
type execution struct {
	at      time.Time
	attempt string
}

func newSimulation(t require.TestingT, f plantedFaults) *simulation {
	sim := &simulation{
		t: t, faults: f, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		stored: make([]storedValue, 3), executions: make(map[Key]execution), reportedNotRun: make(map[string]bool),
	}
	for range vms {
		v := &vm{}
		sim.vms = append(sim.vms, v)
		sim.restart(v)
	}
	return sim
}

// restart replaces a VM's process. A swap in flight may still be executed later.
func (sim *simulation) restart(v *vm) {
	sim.dropCall(v)
	v.starts++
	v.log = NewLog(Options{Lifetime: testLifetime, Slots: len(sim.stored), MaxRecords: 2})
	v.log.faults = sim.faults.faults
	v.attempts = NewAttempts()
	v.attempts.promiseAnyway = sim.faults.promiseAnyway
	v.attempts.holdForEver = sim.faults.holdForEver
	v.undecided, v.granted = make(map[uint64]Record), nil
}

// dropCall stops waiting for a VM's call. A swap may still be executed later.
func (sim *simulation) dropCall(v *vm) {
	if v.inFlight != nil && v.inFlight.Swap {
		sim.delayedSwaps = append(sim.delayedSwaps, *v.inFlight)
	}
	v.inFlight = nil
}

// request submits a caller's request for a key at a VM.
func (sim *simulation) request(i int, k Key) {
	v := sim.vms[i]
	sim.nextID++
	r := Record{Key: k, VM: fmt.Sprint(i), Attempt: fmt.Sprintf("%d-%d-%d", i, v.starts, sim.nextID), ClaimedAt: sim.now}
	sim.submit(v, Op{Kind: Claim, Record: r})
}

func (sim *simulation) submit(v *vm, op Op) {
	sim.nextID++
	op.ID, op.Deadline = sim.nextID, sim.now.Add(5*time.Second)
	if op.Kind != Store {
		v.attempts.Begin(op.Record.Attempt, op.Record.ClaimedAt)
		v.undecided[op.ID] = op.Record
	}
	v.log.Submit(op)
}

// step expires a VM's operations, handles its verdicts and starts its next call.
func (sim *simulation) step(v *vm) {
	sim.handleVerdicts(v, v.log.Expire(sim.now))
	call, verdicts := v.log.Next(sim.now)
	sim.handleVerdicts(v, verdicts)
	if call != nil {
		require.Nil(sim.t, v.inFlight)
		v.inFlight = call
	}
}

func (sim *simulation) handleVerdicts(v *vm, verdicts []Verdict) {
	for _, d := range verdicts {
		r, isClaim := v.undecided[d.ID]
		if !isClaim {
			continue
		}
		delete(v.undecided, d.ID)
		if d.Granted {
			v.attempts.Grant(r.Attempt)
			v.granted = append(v.granted, r)
			continue
		}
		require.True(sim.t, v.attempts.Abandon(r.Attempt))
		sim.reportedNotRun[r.Attempt] = true
		if d.Found != nil {
			sim.handleExisting(v, r, d.Found)
		}
	}
}

// handleExisting handles a retry whose key is already claimed. A stored answer
// must be that of the attempt that holds the claim, which has run. An attempt that its
// claimant has abandoned is taken over.
func (sim *simulation) handleExisting(v *vm, r Record, found *Record) {
	if found.Answer != nil {
		require.Equal(sim.t, found.Attempt, string(found.Answer.Body), "the stored answer belongs to another attempt")
		return
	}
	claimant := sim.vms[int(found.VM[0]-'0')]
	state, _ := claimant.attempts.Lookup(found.Attempt)
	if state != Abandoned {
		return
	}
	sim.nextID++
	r.Attempt = fmt.Sprint(r.Attempt, "-", sim.nextID)
	sim.submit(v, Op{Kind: TakeOver, Record: r, From: found.Attempt})
}

// dispatch runs the oldest granted attempt of a VM, or abandons it if run is false, as
// for a withdrawn key.
func (sim *simulation) dispatch(v *vm, run, answered bool) {
	if len(v.granted) == 0 {
		return
	}
	r := v.granted[0]
	v.granted = v.granted[1:]
	if !run {
		require.True(sim.t, v.attempts.Abandon(r.Attempt))
		sim.reportedNotRun[r.Attempt] = true
		return
	}
	if !v.attempts.Dispatch(r.Attempt, sim.now) {
		return
	}
	last, ran := sim.executions[r.Key]
	require.False(sim.t, ran && sim.now.Sub(last.at) < testLifetime-MaxDispatchDelay, "an action ran twice within the lifetime of its claim")
	require.False(sim.t, sim.reportedNotRun[r.Attempt], "an action ran after its caller was answered that it did not")
	sim.executions[r.Key] = execution{at: sim.now, attempt: r.Attempt}
	if answered {
		r.Answer = &Answer{Status: 200, Body: []byte(r.Attempt)}
		v.attempts.Answer(r.Attempt, r.Answer)
		sim.submit(v, Op{Kind: Store, Record: r})
	}
}

// applySwap executes a swap at the key-value service.
func (sim *simulation) applySwap(c Call) Outcome {
	at := &sim.stored[c.Slot]
	if at.revision != c.Expected {
		return NoEffect
	}
	sim.revision++
	*at = storedValue{revision: sim.revision, value: c.Value}
	return TookEffect
}

// completeCall executes a VM's call in flight and returns the result to the VM.
func (sim *simulation) completeCall(v *vm) {
	if v.inFlight == nil {
		return
	}
	c := *v.inFlight
	v.inFlight = nil
	if !c.Swap {
		at := sim.stored[c.Slot]
		sim.handleVerdicts(v, v.log.ReadDone(c.Slot, at.revision, at.value))
		return
	}
	outcome := sim.applySwap(c)
	sim.handleVerdicts(v, v.log.SwapDone(c.Slot, outcome, sim.stored[c.Slot].revision))
}

// loseResult loses the result of a VM's call. A swap is executed now if executed is true,
// and may be executed later otherwise.
func (sim *simulation) loseResult(v *vm, executed bool) {
	if v.inFlight == nil {
		return
	}
	c := *v.inFlight
	if !c.Swap {
		v.inFlight = nil
		v.log.ReadFailed()
		return
	}
	if executed {
		sim.applySwap(c)
		v.inFlight = nil
	}
	sim.dropCall(v)
	sim.handleVerdicts(v, v.log.SwapDone(c.Slot, Unknown, c.Expected+1))
}

// runRequest makes a request at a VM, steps it 12 times and dispatches, or abandons, its
// oldest granted attempt.
func (sim *simulation) runRequest(i int, k Key, run bool) {
	sim.request(i, k)
	for range 12 {
		sim.step(sim.vms[i])
		sim.completeCall(sim.vms[i])
	}
	sim.dispatch(sim.vms[i], run, true)
}

// actions returns the events of the simulation. Their names are part of the draw order.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	drawVM := rapid.Custom(func(t *rapid.T) *vm { return sim.vms[rapid.IntRange(0, vms-1).Draw(t, "vm")] })
	drawKey := rapid.Custom(func(t *rapid.T) Key { return Key(fmt.Sprint(rapid.IntRange(1, keys).Draw(t, "key"))) })
	work := func(t *rapid.T) {
		v := drawVM.Draw(t, "vm")
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			sim.step(v)
			sim.completeCall(v)
		}
	}
	return map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			sim.request(rapid.IntRange(0, vms-1).Draw(t, "vm"), drawKey.Draw(t, "key"))
		},
		"step":    func(t *rapid.T) { sim.step(drawVM.Draw(t, "vm")) },
		"answer":  func(t *rapid.T) { sim.completeCall(drawVM.Draw(t, "vm")) },
		"work":    work,
		"work on": work,
		"whole": func(t *rapid.T) {
			sim.runRequest(rapid.IntRange(0, vms-1).Draw(t, "vm"), drawKey.Draw(t, "key"), true)
		},
		"hand over": func(t *rapid.T) {
			k := drawKey.Draw(t, "key")
			sim.runRequest(0, k, false)
			sim.request(1, k)
			sim.request(2, k)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				v := drawVM.Draw(t, "vm")
				sim.step(v)
				sim.completeCall(v)
			}
		},
		"lose": func(t *rapid.T) { sim.loseResult(drawVM.Draw(t, "vm"), rapid.Bool().Draw(t, "carried out")) },
		"late": func(t *rapid.T) {
			if len(sim.delayedSwaps) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(sim.delayedSwaps)-1).Draw(t, "call")
			sim.applySwap(sim.delayedSwaps[i])
			sim.delayedSwaps = slices.Delete(sim.delayedSwaps, i, i+1)
		},
		"dispatch": func(t *rapid.T) {
			sim.dispatch(drawVM.Draw(t, "vm"), rapid.IntRange(0, 4).Draw(t, "withdrawn") > 0, rapid.Bool().Draw(t, "answered"))
		},
		"restart": func(t *rapid.T) { sim.restart(drawVM.Draw(t, "vm")) },
		"wait": func(t *rapid.T) {
			sim.now = sim.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 6 * time.Second, MaxDispatchDelay, testLifetime}).Draw(t, "time"))
		},
	}
}

// Results of the key-value service are lost or delayed, VMs restart between claim and
// dispatch and between dispatch and answer, and callers retry the same key at other VMs
// meanwhile. An action must not run twice (a deposit would be charged twice), and must
// not be reported as not run when it ran.
func TestActionsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newSimulation(t, plantedFaults{}).actions()) })
}

// A VM is paused between claim and dispatch until its claim has expired, and another VM
// has claimed the key and run the action. When the paused VM resumes, it must not run
// the action a second time.
func TestPausedClaimantDoesNotDispatch(t *testing.T) {
	a := NewAttempts()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	a.Begin("x", start)
	a.Grant("x")
	require.False(t, a.Dispatch("x", start.Add(DefaultLifetime)))
	require.True(t, a.Abandon("x"))
}

// The simulation must detect each planted fault within 300 seeds, and report no failure
// without one.
func TestPlantedFaultsAreFound(t *testing.T) {
	walk := func(f plantedFaults) oracle.Walk {
		return func(t *rapid.T, o require.TestingT) { t.Repeat(newSimulation(o, f).actions()) }
	}
	const seeds = 300
	for name, f := range map[string]plantedFaults{
		"trustUnknown":  {faults: faults{trustUnknown: true}},
		"skipOlder":     {faults: faults{skipOlder: true}},
		"trustStale":    {faults: faults{trustStale: true}},
		"trustOpen":     {faults: faults{trustOpen: true}},
		"stealAttempts": {faults: faults{stealAttempts: true}},
		"promiseAnyway": {promiseAnyway: true},
		"holdForEver":   {holdForEver: true},
	} {
		first := oracle.FirstSeed(seeds, walk(f))
		t.Logf("planted fault %s: first detected with seed %d", name, first)
		require.NotEqual(t, oracle.NotFound, first, "planted fault %s was not detected", name)
	}
	require.Equal(t, oracle.NotFound, oracle.FirstSeed(seeds, walk(plantedFaults{})))
}
