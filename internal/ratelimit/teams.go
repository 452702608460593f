package ratelimit

import (
	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Teams returns the state of the teams' limits at this VM. It is up to a second old.
func (l *Leases) Teams() []quota.TeamState {
	if states := l.teamStates.Load(); states != nil {
		return *states
	}
	return nil
}

// publishTeams updates the state that Teams returns, at most once per
// publishInterval: operators read it rarely, whereas the state machine ticks often.
func (l *Leases) publishTeams(now clock.Reading) {
	if published := l.teamStates.Load(); published != nil && now.Mono-l.publishedAt < publishInterval {
		return
	}
	l.publishedAt = now.Mono
	states := l.machine.Teams(now)
	l.teamStates.Store(&states)
}
