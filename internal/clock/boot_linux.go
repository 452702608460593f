package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns a Func whose Wall is the time since the machine started
// (CLOCK_BOOTTIME), which advances while the machine is suspended and cannot be
// set. If it cannot be read, the wall clock is used instead.
func Boot() Func {
	start := time.Now()
	return func() Reading {
		now := time.Now()
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			return Reading{Mono: now.Sub(start), Wall: now.Round(0)}
		}
		return Reading{Mono: now.Sub(start), Wall: time.Unix(ts.Unix())}
	}
}
