// Package configstate implements the rules for the configuration in force: which
// envelope replaces which, and which keys authenticate which team. It does no I/O.
package configstate
