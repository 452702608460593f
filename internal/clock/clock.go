package clock

import "time"

// Reading is the state of both clocks at one moment. It orders nothing between
// VMs; only two readings of the same process may be compared.
type Reading struct {
	// Mono is the monotonic clock's distance from the start of the process.
	Mono time.Duration
	// Wall is the wall clock.
	Wall time.Time
}

// Func reads both clocks. Decisions take readings; adapters hold a Func.
type Func func() Reading

// Elapsed returns the time from one reading to a later one by the clock on
// which more has passed, and never less than zero.
func Elapsed(from, to Reading) time.Duration {
	mono := to.Mono - from.Mono
	wall := to.Wall.Sub(from.Wall)
	return max(mono, wall, 0)
}

// System returns a Func that reads the machine's clocks.
func System() Func {
	start := time.Now()
	return func() Reading {
		now := time.Now()
		// Round(0) drops the monotonic part, so that later subtractions use
		// the wall clock.
		return Reading{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}
