// Package upstreamrate keeps all VMs together within the rate limits that upstreams name in their
// answers.
//
// An upstream in need names how many requests per second it takes from all VMs together, for as long
// as it says so. The limit belongs to one incarnation of the upstream. VMs learn of it from answers and
// from each other, and then send a request there only with a permit. The permits of an upstream are
// issued by one VM, which every VM computes by rendezvous hashing.
//
// The package is built for fleets of hundreds of VMs in front of upstreams that take a few requests per
// second. Fixed parts of such a rate would leave most of it unused, because each VM has a request for
// the upstream only every few seconds or minutes, and would make a model unreachable through most VMs
// if no other upstream holds it.
package upstreamrate
