// Package connlimit decides how many connections clients may have open to a process, how much memory the heads of their
// requests may take, and which connections are closed when that is not enough. It does no I/O and reads no clock.
//
// The load that it answers: clients that open connections without number, or that begin requests and do not end them.
// Without a bound they take all descriptors, and the process then reaches neither its upstreams nor the store.
//
// A Table holds the connections of all listeners of a process, a Group those of one of them. When a group is full, a new
// connection takes the place of the one that has waited longest for the head of a request; if all heads are complete, of one
// whose request's body has stalled; and only then of the one that has been idle for longest. A connection whose request is
// complete is never closed: if there are only such ones, the new connection is refused.
//
// The table also bounds the memory of the heads of requests, which is many times their size when they have very many short
// lines. A head takes its memory while it arrives, and keeps it until its request has been answered. To make room, connections
// are closed whose incomplete heads have taken more for longer; if that does not suffice, the head is refused. Large heads leave
// room for ordinary ones.
package connlimit
