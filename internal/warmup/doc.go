// Package warmup divides the requests that a cold upstream bears among the VMs of a fleet.
//
// An upstream that has just started bears a few requests per second and fails well above that. In
// a fleet of hundreds of VMs that choose upstreams by themselves, a single request of each VM would
// exceed this rate many times. A few VMs, chosen by rendezvous hashing, therefore hold all shares of
// an upstream, and every other VM sends it nothing until it is warm. VMs that know different fleets
// agree on most holders, and the rate is divided so that a few holders too many do no harm.
package warmup
