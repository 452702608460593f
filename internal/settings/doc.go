// Package settings reads and checks the YAML settings of the system's
// processes: who a process is, where it listens, and whom it talks to. What
// operators change while the system runs is in the environment document
// instead (package document).
package settings
