// Package portblock gives out TCP ports on loopback for processes that tests start.
//
// A port that is free when it is chosen may be taken before its process listens there, or while
// that process is stopped for a while: by outgoing connections, which the system gives ports
// from its own range, and by other test processes. So the ports lie below that range, and each
// test process claims blocks of them by listening on the first port of each.
package portblock
