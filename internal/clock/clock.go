package clock

import "time"

// Reading is the state of both clocks at one moment. Only readings of the same
// process may be compared; they define no order between VMs.
type Reading struct {
	// Mono is the time on the monotonic clock since the Func was created.
	Mono time.Duration
	// Wall is the time on the wall clock or, from Boot, the time since the
	// machine started, as a time after the Unix epoch.
	Wall time.Time
}

// Func reads both clocks. Decision packages take Readings as arguments; adapters,
// which do I/O, hold a Func.
type Func func() Reading

// Elapsed returns the time from one reading to a later one: the larger of the
// times that have passed on the two clocks, and never less than zero.
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
		// Round(0) strips the monotonic reading, so that later subtractions
		// use the wall clock.
		return Reading{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}
