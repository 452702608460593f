// Package address selects the entry VMs that a caller should use, and how long the
// caller may cache the selection. It distributes a flash crowd whose requests
// arrive within seconds, and it stops returning a VM before that VM stops
// accepting callers. It does no I/O.
package address
