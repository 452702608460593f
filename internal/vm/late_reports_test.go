package vm

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// lateReports is a case of reports that arrive late or not at all.
type lateReports struct {
	name         string
	vms, domains int
	// demands are multiples of the team's rate.
	demands []float64
	// missed is the share of exchanges that fail, lost the share of reports that are lost one way.
	missed, lost float64
	// stopped is how many hubs stand still for stopTicks every 600 ticks.
	stopped, stopTicks int
	// restartTicks is the time between two restarts of a VM, one after the other, in ticks.
	restartTicks int
}

var lateReportCases = []lateReports{
	{name: "none", vms: 60, domains: 4, demands: []float64{10}},
	{name: "three of ten missed", vms: 60, domains: 4, demands: []float64{3.4, 10}, missed: 0.3},
	{name: "six of ten missed", vms: 60, domains: 4, demands: []float64{2, 10}, missed: 0.6},
	{name: "three of ten lost one way", vms: 60, domains: 4, demands: []float64{6}, lost: 0.3},
	{name: "hubs stop for 1.0 s", vms: 60, domains: 4, demands: []float64{8}, stopped: 2, stopTicks: 100},
	{name: "hubs stop for 1.6 s", vms: 60, domains: 4, demands: []float64{2, 8}, stopped: 2, stopTicks: 160},
	{name: "hubs stop for 2.4 s", vms: 60, domains: 4, demands: []float64{8}, stopped: 2, stopTicks: 240},
	{name: "VMs restart", vms: 60, domains: 4, demands: []float64{2, 6}, restartTicks: 45},
	{name: "mesh, six of ten missed", vms: 6, domains: 3, demands: []float64{2, 10}, missed: 0.6},
	{name: "18 VMs, three of ten missed", vms: 18, domains: 3, demands: []float64{2, 10}, missed: 0.3},
	{name: "18 VMs, hubs stop for 1.6 s", vms: 18, domains: 3, demands: []float64{2, 6}, stopped: 1, stopTicks: 160},
	{name: "295 VMs, hubs stop for 1.6 s", vms: 295, domains: 4, demands: []float64{4}, stopped: 2, stopTicks: 160},
}

func (c lateReports) disturbed() bool {
	return c.missed+c.lost > 0 || c.stopped+c.restartTicks > 0
}

// hubSilenceTicks is the time after which a VM that stands still is no longer taken for a hub, in ticks.
const hubSilenceTicks = 70

// play simulates a fleet while a team sends demand times its rate, after three seconds of usual load.
func (c lateReports) play(seed uint64, demand float64, ticks int) *hubSimulation {
	r := rand.New(rand.NewPCG(seed, 21))
	s := newHubSimulationOf(c.vms, c.domains)
	s.run(r, 300, hubTestRate/1.8)
	s.missed = func() bool { return r.Float64() < c.missed }
	s.lost = func(int, int) bool { return r.Float64() < c.lost }
	s.requested, s.refused = 0, 0
	for tick := range ticks {
		if c.stopped > 0 {
			c.stopHubs(s, tick%600)
		}
		if c.restartTicks > 0 && tick%c.restartTicks == 0 {
			s.restart(tick / c.restartTicks % c.vms)
		}
		s.exchange(tick)
		s.step(r, demand*hubTestRate)
	}
	return s
}

// stopHubs stops hubs, lets the other VMs find that they are silent, or lets them go on, if that is due at a
// tick of the period.
func (c lateReports) stopHubs(s *hubSimulation, tick int) {
	const begin = 100
	switch tick {
	case begin:
		hubs := s.plan(0).Hubs()
		slices.Sort(hubs)
		for _, hub := range hubs[:c.stopped] {
			s.stopped[s.index(hub)] = true
		}
	case begin + hubSilenceTicks:
		s.setStoppedSilent(true)
	case begin + c.stopTicks:
		s.setStoppedSilent(false)
		clear(s.stopped)
	}
}

func (s *hubSimulation) setStoppedSilent(silent bool) {
	for i := range s.stopped {
		s.vms[i].Silent = silent
	}
	clear(s.plans)
}

// maxVMsOfSeveralSeeds is the number of VMs below which a case is played with several seeds.
const maxVMsOfSeveralSeeds = 60

// Guards against use that is forgotten when reports are late: a team then gets more than its rate.
func TestLateReportsDoNotExceedRate(t *testing.T) {
	const ticks = 1000
	for _, c := range lateReportCases {
		seeds := uint64(2)
		if c.vms >= maxVMsOfSeveralSeeds {
			seeds = 1
		}
		leastServed := 0.85
		if c.disturbed() {
			leastServed = 0.60
		}
		for _, demand := range c.demands {
			for seed := range seeds {
				s := c.play(seed, demand, ticks)
				share := s.maxWindowAdmitted() / hubTestBound
				served := s.admittedSince(300) / (hubTestRate * ticks * 0.01)
				t.Logf("%s, demand %v, seed %d: %.3f of the bound, served %.2f of the rate", c.name, demand, seed, share, served)
				assert.LessOrEqual(t, share, 1.0, "%s, demand %v, seed %d: too many units admitted within a window", c.name, demand, seed)
				assert.GreaterOrEqual(t, served, leastServed, "%s, demand %v, seed %d: too few units admitted", c.name, demand, seed)
			}
		}
	}
}

// Guards against requests within a team's rate that are refused because reports are late.
func TestTeamBelowItsRateIsServedWhileReportsAreLate(t *testing.T) {
	for _, c := range lateReportCases {
		if c.vms > hubTestVMs {
			continue
		}
		mostRefused := 0.01
		if c.disturbed() {
			mostRefused = 0.03
		}
		s := c.play(1, 0.6, 800)
		t.Logf("%s: %.4f refused", c.name, s.refused/s.requested)
		assert.LessOrEqual(t, s.refused/s.requested, mostRefused, "%s: too many units refused", c.name)
	}
}
