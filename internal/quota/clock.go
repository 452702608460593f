package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// elapsedAtLeast returns the time from one reading to a later one by the clock
// on which less has passed, and never less than zero. Code that waits for another
// VM's authority to expire uses it, and the holder of authority uses clock.Elapsed.
// A clock that stopped or was set then makes authority expire early and the wait
// end late.
func elapsedAtLeast(from, to clock.Reading) time.Duration {
	return max(min(to.Mono-from.Mono, to.Wall.Sub(from.Wall)), 0)
}
