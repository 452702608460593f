package quota

import (
	"maps"
	"slices"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// TeamState is the state of one team's limit at one VM.
type TeamState struct {
	// Team is the team's name.
	Team string
	// Rate is this VM's share of the rate in tokens per second. It includes what
	// the VM has borrowed and excludes what it has lent.
	Rate float64
	// Balance is the number of tokens that this VM may use now, negative for a debt.
	Balance float64
	// Lent is the share of the burst, in tokens, that this VM has lent to others.
	Lent float64
}

// Teams returns every team's state, sorted by team name.
func (m *Machine) Teams(now clock.Reading) []TeamState {
	states := make([]TeamState, 0, len(m.teams))
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		a := m.teams[name]
		m.refresh(now, a)
		states = append(states, TeamState{
			Team:    name,
			Rate:    float64(a.limit.Rate) * float64(a.units()) / float64(Units),
			Balance: float64(a.bucket.Level(now.Mono)) / float64(NanoPerToken),
			Lent:    float64(a.burstShare(a.lent.units)) / float64(NanoPerToken),
		})
	}
	return states
}
