// Package configstate holds the rules for configuration in force: which
// envelope replaces which, and which keys authenticate whom. It does no I/O.
package configstate
