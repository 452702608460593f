// Package topology decides which VMs exchange reports. It does no I/O.
//
// Up to a dozen VMs each exchanges with every other one. Beyond that the exchanges
// would grow with the square of the VMs, and most of their bytes would cross failure
// domains. So the VMs of a failure domain report to one of them, its hub, and the hubs
// tell each other what their domains did. A hub is no office: it is whoever comes first
// by name among those that are heard, and the next one takes over within a second.
package topology
