// Package membership decides who is in the fleet: which VMs are heard, which
// are suspected and which are gone, and which few of them each VM exchanges
// heartbeats with. It is a state machine without I/O: reports and the present
// time go in, heartbeat targets and an immutable view come out.
package membership
