package vm

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against refusals below a team's rate while the reports of all VMs are late at once.
func TestTeamsWithinTheirRatesPassWhileAllReportsAreLate(t *testing.T) {
	const ticks = 1500
	for _, c := range []lateReports{
		{name: "60 VMs, late by a second", vms: 60, domains: 4, missed: 0.75},
		{name: "60 VMs, late by two seconds", vms: 60, domains: 4, missed: 0.88},
		{name: "60 VMs, late by three seconds", vms: 60, domains: 4, missed: 0.92},
		{name: "6 VMs, late by two seconds", vms: 6, domains: 3, missed: 0.88},
	} {
		for demand, most := range map[float64]float64{0.3: 0.01, 0.6: 0.03, 0.9: 0.10} {
			for seed := range uint64(2) {
				s := c.play(seed, demand, ticks)
				refused := s.refused / s.requested
				t.Logf("%s, demand %v, seed %d: refused %.4f", c.name, demand, seed, refused)
				assert.LessOrEqual(t, refused, most, "%s, demand %v, seed %d: refused below the rate", c.name, demand, seed)
			}
		}
		for _, demand := range []float64{3, 10} {
			s := c.play(1, demand, ticks)
			t.Logf("%s, demand %v: %.3f of the bound, served %.2f", c.name, demand, s.maxWindowAdmitted()/hubTestBound, s.admittedSince(300)/(hubTestRate*ticks*0.01))
			assert.LessOrEqual(t, s.maxWindowAdmitted()/hubTestBound, 1.0, "%s, demand %v: too many units admitted within a window", c.name, demand)
		}
	}
}
