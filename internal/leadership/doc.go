// Package leadership elects one VM by a lease in the platform's store and says
// until when it may act.
//
// Engines take orders from whoever sends them, and not all of them check fencing
// tokens. Two VMs that gave orders in turn could overfill an accelerator, which
// then crashes with everything that it serves. So a leader counts its time from
// before it asked for its lease, by the clock on which more has passed, and stops
// before the lease can end; a successor waits once more for as long as an order of
// its predecessor may be under way.
package leadership
