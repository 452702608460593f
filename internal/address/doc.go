// Package address decides which entry VMs a caller is told to use and for how
// long. It spreads a flash crowd that asks within seconds, and it stops naming
// a VM before that VM stops taking callers. It does no I/O.
package address
