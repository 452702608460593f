// Package aggregate adds up what VMs report, so that one report can stand for many. It
// does no I/O.
package aggregate
