// Package concurrency bounds the requests that all VMs together have in flight at one upstream.
//
// A brittle upstream falls over if it has to reject more than a few requests in a second for want of room. How many
// may wait there changes without notice, so only the requests that it runs at once count as room. The VM that issues the
// permits of an upstream keeps its Limiter: a request takes a permit before it is sent, and gives it back when it has ended.
package concurrency
