// Package layering contains tests of the import rules, first of all that decision
// packages import nothing that does I/O, so that any test harness can step them.
package layering
