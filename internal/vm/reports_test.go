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

// An answer is lost after it was built. Its contents have to be sent again, or a team's usage
// and an engine's load would stay unknown until they change once more.
func TestLostReportIsSentAgain(t *testing.T) {
	now := time.Now()
	own := aggregate.Source{VM: "a", Incarnation: 1}
	a := newAggregator(own, now)
	buildReport := func(w work, since uint64) *peerpb.VMReport {
		now = now.Add(ownWorkMaxAge)
		a.setOwn(func() work { return w }, now)
		out := &peerpb.VMReport{}
		a.fillReport(out, topology.ScopeOwn, "b", since, now)
		return out
	}
	first := buildReport(work{admitted: map[string]float64{"x": 1, "y": 1}}, 0)
	require.Equal(t, map[string]float64{"x": 1, "y": 1}, first.Usage[0].Admitted)
	lost := buildReport(work{admitted: map[string]float64{"x": 2, "y": 1}}, first.Version)
	require.Equal(t, map[string]float64{"x": 2}, lost.Usage[0].Admitted)
	w := work{admitted: map[string]float64{"x": 2, "y": 4}, loads: map[string]assign.Load{"e1": {Requests: 1}}}
	again := buildReport(w, first.Version)
	require.Equal(t, map[string]float64{"x": 2, "y": 4}, again.Usage[0].Admitted)
	require.Len(t, again.Engines, 1)
	ended := buildReport(work{admitted: w.admitted}, again.Version)
	require.Empty(t, ended.Usage)
	require.Zero(t, ended.Engines[0].Requests)
	restarted := buildReport(work{admitted: w.admitted}, ended.Version+1000)
	require.Zero(t, restarted.Since, "the acknowledged version of an earlier process must be ignored")
}

// idleVM returns a process that does not run. A running one would find by its own exchanges
// that the VMs made up by a test do not answer.
func idleVM(t *testing.T) *Process {
	return newCluster(t, standin.NewReplica("clerk-1", 0)).start("a").idle(t)
}

// A report contains the changes since a version that this VM has not applied, as after a
// change of its hub. If it were applied, a team's earlier usage would be lost, or all of it
// would count as used just now.
func TestReportOnUnknownBaseIsIgnored(t *testing.T) {
	v := idleVM(t)
	v.fleet.updateRegistrations(map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	report := func(sequence, since, version uint64, requests int32) progress {
		v.fleet.applyReport(t.Context(), &peerpb.VMReport{
			Vm: "b", Incarnation: 5, Sequence: sequence, Since: since, Version: version,
			Engines: []*peerpb.EngineLoad{{Instance: "e1", Requests: requests}},
		})
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return v.fleet.members["b"].applied
	}
	require.Zero(t, report(1, 7, 9, 1))
	require.Empty(t, v.fleet.aggregator.loadsFrom("b"))
	require.Equal(t, progress{topology.ScopeOwn, 9}, report(2, 0, 9, 2))
	require.Equal(t, progress{topology.ScopeOwn, 12}, report(3, 8, 12, 3), "a report that overlaps with applied ones must be applied")
	require.Equal(t, 3, v.fleet.aggregator.loadsFrom("b")["e1"].Requests)
	require.Equal(t, progress{topology.ScopeOwn, 12}, report(4, 13, 15, 4))
	require.Equal(t, 3, v.fleet.aggregator.loadsFrom("b")["e1"].Requests)
}

// Three hundred VMs learn from their hubs four times a second which VMs take callers. If each
// report listed all of these, that would be most of the control traffic. A report lists only
// changes, which include VMs that stop taking callers.
func TestHubReportsOnlyRosterChanges(t *testing.T) {
	version := &aggregate.Version{}
	r := newRoster(version)
	for i := range 300 {
		r.set(fmt.Sprint("vm-", i), i < 50, true)
	}
	alive, silent := r.since(topology.ScopeAll, 0, "vm-0")
	require.Len(t, alive, 299)
	require.Empty(t, silent)
	alive, _ = r.since(topology.ScopeFollowers, 0, "far")
	require.Len(t, alive, 50)
	acknowledged := version.Number()
	r.set("vm-7", true, true)
	r.set("vm-8", true, false)
	r.removeUnknown(func(vm string) bool { return vm != "vm-9" })
	alive, silent = r.since(topology.ScopeAll, acknowledged, "vm-0")
	require.Empty(t, alive)
	require.ElementsMatch(t, []string{"vm-8", "vm-9"}, silent)
	r.removeUnknown(func(string) bool { return false })
	require.False(t, r.covers(acknowledged))
	require.Empty(t, r.vms, "entries of removed VMs must be dropped")
}

// The VMs do not change. Three hundred of them that recomputed their plans four times a
// second spent as much processor time on it as on callers.
func TestPlanIsRecomputedOnlyWhenVMsChange(t *testing.T) {
	v := idleVM(t)
	plan := func() *topology.Plan {
		v.fleet.startDueExchanges(false)
		v.fleet.mu.Lock()
		defer v.fleet.mu.Unlock()
		return v.fleet.plan
	}
	before := plan()
	require.Same(t, before, plan())
	v.fleet.updateRegistrations(map[string]store.Item{vmPrefix + "b": {
		Revision: 1, Value: []byte(`{"incarnation":5,"callers":"127.0.0.1:1","peers":"127.0.0.1:2","domain":"a"}`),
	}})
	withMember := plan()
	require.NotSame(t, before, withMember)
	require.Len(t, withMember.Partners, 1)
	require.Same(t, withMember, plan())
	v.fleet.updateRegistrations(nil)
	require.NotSame(t, withMember, plan(), "the plan must change when a VM is no longer registered")
}

// Three hundred VMs start together, and each learns of all others at once. A log line for
// each VM, at each VM, delayed their first requests and displaced other lines from the log.
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
	v.fleet.logNewMembers(vms)
	require.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("\n")))
	v.fleet.logNewMembers(vms[:2])
	require.Equal(t, 3, bytes.Count(lines.Bytes(), []byte("\n")))
	clear(v.fleet.members)
}

// A VM restarts before its hub notices that it was gone, and another VM becomes known from
// the store only after the hub has listed it. The hub lists neither of them again. VMs behind
// the hub left them out of their address answers for good.
func TestVMListedOnceByHubStaysListed(t *testing.T) {
	v := idleVM(t)
	entry := func(incarnation int) store.Item {
		return store.Item{Revision: store.Revision(incarnation), Value: fmt.Appendf(nil,
			`{"incarnation":%d,"callers":"10.0.0.9:%d","peers":"127.0.0.1:2","domain":"a"}`, incarnation, incarnation)}
	}
	f := v.fleet
	register := func(more map[string]store.Item) {
		own := map[string]store.Item{vmPrefix + "0-hub": entry(1)}
		for i := range topology.MeshLimit {
			own[fmt.Sprint(vmPrefix, "z-", i)] = entry(1)
		}
		maps.Copy(own, more)
		f.updateRegistrations(own)
	}
	answered := func() []string {
		f.mu.Lock()
		for _, m := range f.members {
			m.firstSeen = m.firstSeen.Add(-time.Minute)
		}
		f.members["0-hub"].lastReport = time.Now()
		f.mu.Unlock()
		addresses, _ := f.Addresses("", "a")
		return addresses
	}
	applyRoster := func(r *peerpb.VMReport) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.applyRoster(r)
	}
	register(map[string]store.Item{vmPrefix + "b": entry(2)})
	applyRoster(&peerpb.VMReport{Vm: "0-hub", Alive: []string{"b", "c"}})
	require.Contains(t, answered(), "10.0.0.9:2")
	register(map[string]store.Item{vmPrefix + "b": entry(3), vmPrefix + "c": entry(4)})
	require.Subset(t, answered(), []string{"10.0.0.9:3", "10.0.0.9:4"})
	f.applyReport(t.Context(), &peerpb.VMReport{Vm: "b", Incarnation: 3, Sequence: 1, Scope: int32(topology.ScopePresence)})
	require.Contains(t, answered(), "10.0.0.9:3", "the VM's own report of not being ready must not override the hub")
	applyRoster(&peerpb.VMReport{Vm: "0-hub", Since: 1, Silent: []string{"b"}})
	require.NotContains(t, answered(), "10.0.0.9:3")
	applyRoster(&peerpb.VMReport{Vm: "z-1", Alive: []string{"c"}})
	applyRoster(&peerpb.VMReport{Vm: "z-1", Since: 1, Silent: []string{"c"}})
	register(map[string]store.Item{vmPrefix + "c": entry(4), vmPrefix + "b": entry(6)})
	require.Contains(t, answered(), "10.0.0.9:4", "a VM that was a hub for a moment must not remove entries")
	register(map[string]store.Item{vmPrefix + "c": entry(4), vmPrefix + "0-a-hub": entry(5)})
	require.NotContains(t, answered(), "10.0.0.9:4", "the former hub's list must be dropped when another VM becomes the hub")
}
