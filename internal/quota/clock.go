package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// elapsedAtLeast returns the time from one reading to a later one by the clock
// on which less has passed, and never less than zero. Whoever waits for another
// VM's authority to end uses it, whoever holds authority uses clock.Elapsed: a
// clock that stood still or was set then ends authority early and waiting late.
func elapsedAtLeast(from, to clock.Reading) time.Duration {
	return max(min(to.Mono-from.Mono, to.Wall.Sub(from.Wall)), 0)
}
