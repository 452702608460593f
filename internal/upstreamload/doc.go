// Package upstreamload predicts how long work takes at an upstream from the slowdown that the upstream's answers report. It does
// no I/O and reads no clock.
//
// The package answers load on upstreams that share their machines with others: one of them is slow for a fraction of a second,
// then another one. A report therefore counts for as long as earlier ones held at the same service, and no longer. Many VMs with
// few requests each get few reports, so a report that changes a choice is told to the other VMs, and only such a report.
package upstreamload
