// Package cost estimates what requests cost their upstreams, from what earlier requests of the same kind have cost. It does no
// I/O and reads no clock.
//
// The package answers load in which requests that look alike cost very different amounts of work: one in twenty takes ten times
// as long as the others, or the prefill of a long prompt takes more time per token than that of a short one. Requests are told
// apart by what a VM sees of them before they run: service, route, team, model and size.
package cost
