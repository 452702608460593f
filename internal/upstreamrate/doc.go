// Package upstreamrate keeps track of the rate limits that upstreams name in their answers.
//
// An upstream in need names how many requests per second it takes from all VMs together, for as long
// as it says so. The limit belongs to one incarnation of the upstream.
package upstreamrate
