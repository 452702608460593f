// Package connlimit decides how many connections clients may have open to a process, and which of them are closed when
// there are more. It does no I/O and reads no clock.
//
// The load that it answers: clients that open connections without number, or that begin requests and do not end them.
// Without a bound they take all descriptors, and the process then reaches neither its upstreams nor the store.
//
// A Table holds the connections of all listeners of a process, a Group those of one of them. When a group is full, a new
// connection takes the place of the one that has waited longest for the head of a request; if all heads are complete, of one
// whose request's body has stalled; and only then of the one that has been idle for longest. A connection whose request is
// complete is never closed: if there are only such ones, the new connection is refused.
package connlimit
