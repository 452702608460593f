// Package settings reads and validates the YAML settings of the system's
// processes: the identity of a process, the addresses on which it listens, and the
// addresses to which it connects. What operators change while the system runs is
// in the environment document instead (package document).
package settings
