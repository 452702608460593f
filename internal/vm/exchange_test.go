package vm

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a hub that exchanges reports with all partners for each of hundreds of moves that end together.
func TestExchangesOutOfTurnArePaced(t *testing.T) {
	const partners = 70
	var trigger exchangeTrigger
	start := time.Now()
	require.Zero(t, trigger.fire(partners, start), "a single event must not wait")
	now, rounds := start, 0
	for now.Sub(start) < exchangeInterval {
		now = now.Add(trigger.fire(partners, now))
		rounds++
	}
	require.LessOrEqual(t, rounds, 2)
	require.Zero(t, trigger.fire(partners, now.Add(time.Second)))
}

// In a small fleet news must not wait for the next exchange in turn.
func TestExchangesOutOfTurnAreSoonInASmallFleet(t *testing.T) {
	var trigger exchangeTrigger
	now := time.Now()
	trigger.fire(6, now)
	require.Less(t, trigger.fire(6, now), exchangeInterval/10)
}
