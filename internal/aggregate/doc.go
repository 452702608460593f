// Package aggregate sums the reports of VMs, so that one report can stand for many, and
// versions the changes of the sums, so that a report to each receiver holds only what that
// receiver has not acknowledged. It does no I/O.
package aggregate
