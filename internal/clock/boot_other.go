//go:build !linux

package clock

// Boot returns System: on this platform no clock is available that advances
// while the machine is suspended and cannot be set.
func Boot() Func { return System() }
