// Package leadership elects one VM by a lease in the platform's store and bounds
// the time during which that VM may act.
//
// Engines accept orders from any sender, and not all of them check fencing tokens.
// Two VMs that gave orders in turn could overfill an accelerator, which then crashes
// with everything that it serves. A leader therefore measures its lease from before
// the request for it, by the clock on which more time has passed, and stops before
// the lease can expire. A successor additionally waits for as long as an order of its
// predecessor may be in flight.
package leadership
