// Package quota decides which requests each VM may admit, so that no team exceeds
// its rate and burst over all VMs together. It performs no I/O: callers pass in
// events with the current time, and carry out the actions that it returns.
package quota
