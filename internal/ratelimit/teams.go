package ratelimit

import (
	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

// Teams returns the teams' limits as this VM holds them, at most a second old.
func (l *Leases) Teams() []quota.TeamState {
	if states := l.teams.Load(); states != nil {
		return *states
	}
	return nil
}

// publish shows the teams' state to operators, at most once a period: they look
// rarely, and the machine ticks often.
func (l *Leases) publish(now clock.Reading) {
	if shown := l.teams.Load(); shown != nil && now.Mono-l.shownAt < statePeriod {
		return
	}
	l.shownAt = now.Mono
	states := l.machine.Teams(now)
	l.teams.Store(&states)
}
