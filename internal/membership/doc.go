// Package membership tracks the VMs of the fleet by heartbeats and gossip: which are
// alive, suspected or gone, and which few partners each VM exchanges heartbeats with.
// It is a state machine without I/O: its inputs are reports and the current time, its
// outputs are heartbeat targets and an immutable view.
package membership
