// Package origins remembers which software version began each stream that callers may resume, and decides which VMs
// remember it. What two versions write does not fit together, and a caller may resume a stream at any VM after the one
// that began it has gone. It does no I/O.
package origins
