// Package aggregate adds up what VMs report, so that one report can stand for many, and
// numbers what changes in the sums, so that a report tells each receiver only what is new
// to it. It does no I/O.
package aggregate
