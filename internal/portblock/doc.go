// Package portblock allocates TCP ports on loopback for processes that tests start.
//
// A port that is free when it is chosen may be taken before its process listens there, or while
// that process is stopped temporarily: by outgoing connections, to which the system assigns ports
// of its ephemeral range, and by other test processes. The ports therefore lie below the ephemeral
// range, and each test process claims whole blocks of them by listening on the first port of each.
package portblock
