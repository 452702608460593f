// Package holding decides how much memory a VM uses for peers that read slowly, and whose bytes are given up when that is not
// enough. It does no I/O and reads no clock.
//
// The load that it answers: callers that read large answers slowly or not at all, and upstreams that do the same with the
// bodies of requests. What is held for them waits in the memory of a VM, which also serves everybody else.
//
// An Account bounds the bytes of all holders together. A holder may always ask for what it needs to go on; what it holds
// beyond that, so that its sender is free sooner, comes out of half of the account. If there is no room for what a holder
// needs, the holders whose bytes have not moved for a while are ended, those first that hold most for longest.
package holding
