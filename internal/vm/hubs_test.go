package vm

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/aggregate"
	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/peer/peerpb"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
	"github.com/chestnutarch/chestnutarch/internal/topology"
)

const (
	hubTestVMs    = 60
	hubTestRate   = 900_000.0
	hubTestSlack  = 110_000.0
	hubTestWindow = 8 * time.Second
	// hubTestBound is what all VMs may admit within a window.
	hubTestBound = (hubTestRate*8+hubTestRate)*1.1 + hubTestSlack
)

// hubSimulation is a fleet of VMs that report to each other as the topology says, without a
// network.
type hubSimulation struct {
	now          time.Time
	vms          []topology.VM
	incarnations []int64
	limiters     []*teamrate.Limiter
	aggregators  []*aggregator
	admitted     []float64
	// applied is how far one VM has applied the reports of another one, by their indices in
	// vms.
	applied map[[2]int]progress
	// requested and refused count units.
	requested, refused float64
	// plans caches the plans by VM; run clears it, since tests change VMs and links between runs.
	plans map[int]*topology.Plan
	// partitioned reports whether VM i receives nothing from VM j.
	partitioned func(i, j int) bool
	// missed reports whether an exchange fails, lost whether the report of VM i to VM j is lost. stopped
	// holds the VMs that stand still.
	missed  func() bool
	lost    func(i, j int) bool
	stopped map[int]bool
}

// hubTestEpoch is when every simulation starts, so that runs are repeatable.
var hubTestEpoch = time.Unix(1_700_000_000, 0)

func newHubSimulation(domains int) *hubSimulation { return newHubSimulationOf(hubTestVMs, domains) }

func newHubSimulationOf(vms, domains int) *hubSimulation {
	s := &hubSimulation{
		now: hubTestEpoch, applied: make(map[[2]int]progress), stopped: make(map[int]bool),
		partitioned: func(int, int) bool { return false }, missed: func() bool { return false }, lost: func(int, int) bool { return false },
	}
	for i := range vms {
		started := s.now.UnixNano() + int64(i)
		l := teamrate.New(teamrate.Tolerance{Units: hubTestSlack, Window: hubTestWindow}, started)
		l.SetLimits(map[string]teamrate.Limit{"team": {Rate: hubTestRate, Burst: hubTestRate}}, s.now)
		s.vms = append(s.vms, topology.VM{Name: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprint(i % domains)})
		s.incarnations = append(s.incarnations, started)
		s.limiters, s.aggregators = append(s.limiters, l), append(s.aggregators, newAggregator(aggregate.Source{VM: s.vms[i].Name, Incarnation: started}, s.now))
	}
	return s
}

func (s *hubSimulation) plan(i int) *topology.Plan {
	if p := s.plans[i]; p != nil {
		return p
	}
	var others []topology.VM
	for j, vm := range s.vms {
		if j != i {
			vm.Silent = vm.Silent || s.partitioned(i, j)
			others = append(others, vm)
		}
	}
	p := topology.New(s.vms[i], others)
	if s.plans != nil {
		s.plans[i] = p
	}
	return p
}

// restart replaces a VM's process.
func (s *hubSimulation) restart(i int) {
	started := s.now.UnixNano() + int64(i)
	s.incarnations[i], s.limiters[i], s.aggregators[i] = started, teamrate.New(teamrate.Tolerance{Units: hubTestSlack, Window: hubTestWindow}, started), newAggregator(aggregate.Source{VM: s.vms[i].Name, Incarnation: started}, s.now)
	s.limiters[i].SetLimits(map[string]teamrate.Limit{"team": {Rate: hubTestRate, Burst: hubTestRate}}, s.now)
	for j := range s.vms {
		delete(s.applied, [2]int{i, j})
		delete(s.applied, [2]int{j, i})
	}
}

// exchangeTicks is the number of ticks between two exchanges of a pair.
const exchangeTicks = 25

// exchange runs the exchanges that are due at a tick, except with VMs that are silent. VMs
// start at different moments, so it takes up to three exchange intervals until
// a report has passed two hubs.
func (s *hubSimulation) exchange(tick int) {
	for i := range s.vms {
		if (tick+7*i)%exchangeTicks != 0 || s.stopped[i] {
			continue
		}
		plan := s.plan(i)
		weights := make(map[string]int)
		for _, p := range plan.Partners {
			weights[p.Name] = p.Weight
		}
		s.limiters[i].SetPeers(weights, len(s.vms), s.now)
		for j := range s.vms {
			if weights[s.vms[j].Name] == 0 {
				delete(s.applied, [2]int{i, j})
			}
		}
		for _, p := range plan.Partners {
			j := s.index(p.Name)
			if p.Initiate && !s.vms[i].Silent && !s.vms[j].Silent && !s.stopped[j] && !s.partitioned(i, j) && !s.missed() {
				s.report(i, j)
				s.report(j, i)
			}
		}
	}
}

func (s *hubSimulation) index(name string) int {
	for i, vm := range s.vms {
		if vm.Name == name {
			return i
		}
	}
	return -1
}

func (s *hubSimulation) report(from, to int) {
	scope := s.plan(from).ScopeFor(s.vms[to])
	if s.lost(from, to) || !s.plan(to).Accepts(s.vms[from], scope) {
		return
	}
	r := &peerpb.VMReport{Vm: s.vms[from].Name, Incarnation: s.incarnations[from]}
	demand := map[string]assign.Demand{"m": {Work: time.Duration(from) * time.Microsecond, Requests: 1}}
	s.aggregators[from].setOwn(func() work {
		return work{admitted: s.limiters[from].Admitted(), requested: s.limiters[from].Demand(), demand: demand}
	}, s.now)
	applied := s.applied[[2]int{to, from}]
	if applied.scope != scope {
		applied = progress{}
	}
	s.aggregators[from].fillReport(r, scope, s.vms[to].Name, applied.version, s.now)
	r.LateVms = lateVMs(s.limiters[from], scope, s.now)
	admitted, ok := s.aggregators[to].applyReport(r, s.plan(to).Follows(s.vms[from].Name), s.now)
	if !ok {
		delete(s.applied, [2]int{to, from})
		return
	}
	s.applied[[2]int{to, from}] = progress{scope, r.Version}
	s.limiters[to].ApplyReport(rateReport(r, admitted), s.now)
}

// step requests units from VMs chosen at random, as many per second as demand in total.
func (s *hubSimulation) step(r *rand.Rand, demand float64) {
	const tick, size = 10 * time.Millisecond, 9000.0
	total := 0.0
	for expected := demand * tick.Seconds() / size; expected > 0 && r.Float64() < expected; expected-- {
		i := r.IntN(len(s.vms))
		if s.stopped[i] {
			continue
		}
		s.requested += size
		if ok, _ := s.limiters[i].Admit("team", size, s.now); ok {
			total += size
		} else {
			s.refused += size
		}
	}
	s.admitted = append(s.admitted, total)
	s.now = s.now.Add(tick)
}

func (s *hubSimulation) run(r *rand.Rand, steps int, demand float64) {
	s.plans = make(map[int]*topology.Plan)
	for i := range steps {
		s.exchange(i)
		s.step(r, demand)
	}
}

// admittedSince returns the units that were admitted from a step on.
func (s *hubSimulation) admittedSince(step int) float64 {
	sum := 0.0
	for _, u := range s.admitted[step:] {
		sum += u
	}
	return sum
}

func (s *hubSimulation) maxWindowAdmitted() float64 {
	ticks := int(hubTestWindow / (10 * time.Millisecond))
	worst, sum := 0.0, 0.0
	for i, u := range s.admitted {
		sum += u
		if i >= ticks {
			sum -= s.admitted[i-ticks]
		}
		worst = max(worst, sum)
	}
	return worst
}

// One team sends several times its rate through sixty VMs, which report through hubs. A hub
// dies in the middle, and its VMs switch to the next one. What was admitted before must
// neither be lost nor counted twice: the first would exceed the team's rate, the second would
// refuse requests within it.
func TestRatesHoldThroughHubs(t *testing.T) {
	for seed := range uint64(6) {
		r := rand.New(rand.NewPCG(seed, 9))
		s := newHubSimulation(4)
		s.run(r, 400, hubTestRate/1.8)
		before := len(s.admitted)
		s.run(r, 800, 7.5*hubTestRate/1.8)
		s.vms[0].Silent = true
		s.run(r, 800, 7.5*hubTestRate/1.8)
		require.Less(t, s.maxWindowAdmitted(), (hubTestRate*hubTestWindow.Seconds()+hubTestRate)*1.1+hubTestSlack, "seed %d: too many units admitted within a window", seed)
		served := s.admittedSince(before)
		require.Greater(t, served, 0.85*hubTestRate*16, "seed %d: too few units admitted in total", seed)
	}
}

// A hub dies and comes back after a fleet has run for a while and while a team sends several times its
// rate. VMs that had reported to it report to another one, and to it again. If their totals since their
// start, or those of a hub that was gone for a while, counted as used just now, the team's requests would
// be refused for seconds, or for hours in a fleet that has run for days.
func TestTeamGetsItsRateWhileHubsChange(t *testing.T) {
	const demand, ticks = 7.5 * hubTestRate / 1.8, 400
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 12))
		s := newHubSimulation(4)
		s.run(r, 2000, demand)
		for _, silent := range []bool{true, false, true, false} {
			s.vms[0].Silent = silent
			before := len(s.admitted)
			s.run(r, ticks, demand)
			served := s.admittedSince(before)
			seconds := float64(ticks) * 0.01
			require.Greater(t, served, 0.8*hubTestRate*seconds, "seed %d: too few units admitted in the %v s after a change of the hub, silent %v", seed, seconds, silent)
		}
		require.Less(t, s.maxWindowAdmitted(), (hubTestRate*hubTestWindow.Seconds()+hubTestRate)*1.1+hubTestSlack, "seed %d: too many units admitted within a window", seed)
	}
}

// The same VMs carry the team's usual load. Less than 1 % may be refused.
func TestUsualLoadPassesThroughHubs(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 10))
	s := newHubSimulation(4)
	s.run(r, 300, hubTestRate/1.8)
	s.requested, s.refused = 0, 0
	s.run(r, 3000, hubTestRate/1.8)
	require.Less(t, s.refused/s.requested, 0.01)
}

// Links between some VMs are cut, and VMs disagree on which ones are silent: a failure domain
// has two hubs, each of which treats the other as one of its own VMs. If one passed on
// sums that the other had received from it, the sums would grow without limit and the requests
// of every team would be refused.
func TestTwoHubsOfADomainDoNotCountEachOther(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 11))
	s := newHubSimulation(4)
	s.run(r, 400, hubTestRate/1.8)
	s.partitioned = func(i, j int) bool {
		// vm-00 is cut off from the other failure domains, and from 6 of the 14 other VMs of
		// its own.
		cut := func(k int) bool { return k%4 != 0 || k%8 == 4 && k > 4 }
		return (j == 0 && cut(i)) || (i == 0 && cut(j))
	}
	s.run(r, 1600, hubTestRate/1.8)
	s.partitioned = func(int, int) bool { return false }
	s.run(r, 400, hubTestRate/1.8)
	s.requested, s.refused = 0, 0
	s.run(r, 800, hubTestRate/1.8)
	require.Less(t, s.refused/s.requested, 0.02)
}

// Guards against lost or doubled use when one of several hubs of a domain dies and comes back.
func TestRatesHoldThroughSeveralHubsOfADomain(t *testing.T) {
	const demand, ticks = 7.5 * hubTestRate / 1.8, 500
	for seed := range uint64(4) {
		r := rand.New(rand.NewPCG(seed, 13))
		s := newHubSimulation(1)
		require.Len(t, s.plan(5).Hubs(), 2)
		s.run(r, 400, hubTestRate/1.8)
		for _, silent := range []bool{false, true, false, true, false} {
			s.vms[0].Silent = silent
			before := len(s.admitted)
			s.run(r, ticks, demand)
			served := s.admittedSince(before)
			seconds := float64(ticks) * 0.01
			require.Greater(t, served, 0.8*hubTestRate*seconds, "seed %d: too few units admitted in %v s with silent %v", seed, seconds, silent)
		}
		require.Less(t, s.maxWindowAdmitted(), (hubTestRate*hubTestWindow.Seconds()+hubTestRate)*1.1+hubTestSlack, "seed %d: too many units admitted within a window", seed)
	}
}
