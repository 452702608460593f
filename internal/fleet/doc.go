// Package fleet runs a VM's heartbeats: it carries the reports of the pure
// membership package over gRPC, publishes immutable views of the fleet and
// pulls a newer configuration from the peer that has it.
package fleet
