package vm

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/store"
	"github.com/chestnutarch/chestnutarch/internal/topology"
	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// An answer is lost after its sender has made it. What it told has to be told again, or a
// team's use and an engine's load would stay unknown until they change once more.
func TestReportThatWasLostIsToldAgain(t *testing.T) {
	now := time.Now()
	s := newSums(1)
	tell := func(w work, since uint64) *peerpb.VMReport {
		now = now.Add(ownLifetime)
		s.setOwn(func() work { return w }, now)
		out := &peerpb.VMReport{}
		s.fill(out, topology.ScopeOwn, "b", since, now)
		return out
	}
	first := tell(work{admitted: map[string]float64{"x": 1, "y": 1}}, 0)
	require.Equal(t, map[string]float64{"x": 1, "y": 1}, first.Admitted)
	lost := tell(work{admitted: map[string]float64{"x": 2, "y": 1}}, first.Version)
	require.Equal(t, map[string]float64{"x": 2}, lost.Admitted)
	w := work{admitted: map[string]float64{"x": 2, "y": 4}, loads: map[string]assign.Load{"e1": {Requests: 1}}}
	again := tell(w, first.Version)
	require.Equal(t, map[string]float64{"x": 2, "y": 4}, again.Admitted)
	require.Len(t, again.Engines, 1)
	ended := tell(work{admitted: w.admitted}, again.Version)
	require.Empty(t, ended.Admitted)
	require.Zero(t, ended.Engines[0].Requests)
	restarted := tell(work{admitted: w.admitted}, ended.Version+1000)
	require.Zero(t, restarted.Since, "a version of an earlier process says nothing")
}

// idleVM is a VM that does not run: its own exchanges would find that the VMs of a test do not
// answer.
func idleVM(t *testing.T) *Process {
	return newCluster(t, standin.NewReplica("clerk-1", 0)).start("a").idle(t)
}

// A report tells what has changed since another one that this VM has not taken in, as after its
// hub has changed. Counted all the same, a team's use before would be lost, or all of it would
// count as used just now.
func TestReportThatBuildsOnAnUnknownOneIsNotCounted(t *testing.T) {
	v := idleVM(t)
	v.fleet.observe(map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	report := func(sequence, since, version uint64, requests int32) progress {
		v.fleet.take(t.Context(), &peerpb.VMReport{
			Vm: "b", Incarnation: 5, Sequence: sequence, Since: since, Version: version,
			Engines: []*peerpb.EngineLoad{{Instance: "e1", Requests: requests}},
		})
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return v.fleet.members["b"].taken
	}
	require.Zero(t, report(1, 7, 9, 1))
	require.Empty(t, v.fleet.sums.loadsAt("b"))
	require.Equal(t, progress{topology.ScopeOwn, 9}, report(2, 0, 9, 2))
	require.Equal(t, progress{topology.ScopeOwn, 12}, report(3, 8, 12, 3), "it overlaps with what is known")
	require.Equal(t, 3, v.fleet.sums.loadsAt("b")["e1"].Requests)
	require.Equal(t, progress{topology.ScopeOwn, 12}, report(4, 13, 15, 4))
	require.Equal(t, 3, v.fleet.sums.loadsAt("b")["e1"].Requests)
}

// Three hundred VMs hear from their hubs four times a second who takes callers. Named in each
// report, they would be most of what control sends; one that no longer takes callers must be
// told all the same.
func TestHubTellsOnceWhoTakesCallers(t *testing.T) {
	version := &aggregate.Version{}
	r := newRoster(version)
	for i := range 300 {
		r.set(fmt.Sprint("vm-", i), i < 50, true)
	}
	alive, silent := r.since(topology.ScopeAll, 0, "vm-0")
	require.Len(t, alive, 299)
	require.Empty(t, silent)
	alive, _ = r.since(topology.ScopeDomain, 0, "far")
	require.Len(t, alive, 50)
	told := version.Number()
	r.set("vm-7", true, true)
	r.set("vm-8", true, false)
	r.keep(func(vm string) bool { return vm != "vm-9" })
	alive, silent = r.since(topology.ScopeAll, told, "vm-0")
	require.Empty(t, alive)
	require.ElementsMatch(t, []string{"vm-8", "vm-9"}, silent)
	r.keep(func(string) bool { return false })
	require.False(t, r.remembers(told))
	require.Empty(t, r.vms, "VMs that are gone do not add up")
}

// Nothing has changed among the VMs. Three hundred of them that worked out their places among
// all others four times a second spent as much on that as on callers.
func TestPlanIsMadeAnewOnlyWhenVMsChange(t *testing.T) {
	v := idleVM(t)
	plan := func() *topology.Plan {
		v.fleet.due(false)
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return v.fleet.plan
	}
	before := plan()
	require.Same(t, before, plan())
	v.fleet.observe(map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	with := plan()
	require.NotSame(t, before, with)
	require.Len(t, with.Partners, 1)
	require.Same(t, with, plan())
	v.fleet.observe(nil)
	require.NotSame(t, with, plan(), "it is not registered any more")
}

// Three hundred VMs start together, and each learns of all others at once. A line for each, at
// each VM, held up their first requests and pushed other lines out of the log.
func TestFirstViewOfALargeFleetIsLoggedInFewLines(t *testing.T) {
	v := idleVM(t)
	var lines bytes.Buffer
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.log = zerolog.New(&lines)
	var vms []string
	for i := range 300 {
		name := fmt.Sprint("vm-", i)
		v.fleet.members[name] = &member{}
		vms = append(vms, name)
	}
	v.fleet.logKnown(vms)
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("\n")))
	v.fleet.logKnown(vms[:2])
	require.Equal(t, 3, bytes.Count(lines.Bytes(), []byte("\n")))
	clear(v.fleet.members)
}

// A VM starts anew so fast that its hub never missed it, and another one becomes known from the
// store after the hub has named it. The hub does not name either of them again. VMs behind it
// left them out of their answers to callers for good.
func TestVMThatTheHubNamedOnceStaysNamed(t *testing.T) {
	v := idleVM(t)
	entry := func(incarnation int) store.Item {
		return store.Item{Revision: int64(incarnation), Value: fmt.Appendf(nil,
			`{"incarnation":%d,"callers":"10.0.0.9:%d","peers":"127.0.0.1:2","domain":"a"}`, incarnation, incarnation)}
	}
	f := v.fleet
	fleet := func(more map[string]store.Item) {
		own := map[string]store.Item{vmPrefix + "0-hub": entry(1)}
		for i := range topology.MeshLimit {
			own[fmt.Sprint(vmPrefix, "z-", i)] = entry(1)
		}
		maps.Copy(own, more)
		f.observe(own)
	}
	named := func() []string {
		f.mu.Lock()
		for _, m := range f.members {
			m.started = m.started.Add(-time.Minute)
		}
		f.members["0-hub"].heard = time.Now()
		f.mu.Unlock()
		addresses, _ := f.Addresses("a")
		return addresses
	}
	roster := func(r *peerpb.VMReport) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.takeRoster(r)
	}
	fleet(map[string]store.Item{vmPrefix + "b": entry(2)})
	roster(&peerpb.VMReport{Vm: "0-hub", Alive: []string{"b", "c"}})
	require.Contains(t, named(), "10.0.0.9:2")
	fleet(map[string]store.Item{vmPrefix + "b": entry(3), vmPrefix + "c": entry(4)})
	require.Subset(t, named(), []string{"10.0.0.9:3", "10.0.0.9:4"})
	f.take(t.Context(), &peerpb.VMReport{Vm: "b", Incarnation: 3, Sequence: 1, Scope: int32(topology.ScopePresence)})
	require.Contains(t, named(), "10.0.0.9:3", "what it said as it started does not count for good")
	roster(&peerpb.VMReport{Vm: "0-hub", Since: 1, Silent: []string{"b"}})
	require.NotContains(t, named(), "10.0.0.9:3")
	roster(&peerpb.VMReport{Vm: "z-1", Alive: []string{"c"}})
	roster(&peerpb.VMReport{Vm: "z-1", Since: 1, Silent: []string{"c"}})
	fleet(map[string]store.Item{vmPrefix + "c": entry(4), vmPrefix + "b": entry(6)})
	require.Contains(t, named(), "10.0.0.9:4", "what a hub of a moment says undoes nothing")
	fleet(map[string]store.Item{vmPrefix + "c": entry(4), vmPrefix + "0-a-hub": entry(5)})
	require.NotContains(t, named(), "10.0.0.9:4", "another hub has taken the place")
}
