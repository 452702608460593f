package quota

import (
	"maps"
	"slices"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// TeamState is one team's limit as one VM holds it.
type TeamState struct {
	// Team is the team's name.
	Team string
	// Rate is this VM's part of the rate in tokens per second, borrowed parts
	// included and lent ones left out.
	Rate float64
	// Balance is what it may use now in tokens, below zero for a debt.
	Balance float64
	// Lent is the part of the burst, in tokens, that other VMs have on loan.
	Lent float64
}

// Teams returns every team's state, in the order of their names.
func (m *Machine) Teams(now clock.Reading) []TeamState {
	states := make([]TeamState, 0, len(m.teams))
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		a := m.teams[name]
		m.refresh(now, a)
		states = append(states, TeamState{
			Team:    name,
			Rate:    float64(a.limit.Rate) * float64(a.units()) / float64(Units),
			Balance: float64(a.bucket.Level(now.Mono)) / float64(NanoPerToken),
			Lent:    float64(a.capOf(a.lent.units)) / float64(NanoPerToken),
		})
	}
	return states
}
