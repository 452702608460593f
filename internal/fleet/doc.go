// Package fleet runs a VM's heartbeats: it exchanges the reports of the membership
// state machine over gRPC, publishes immutable views of the fleet and fetches newer
// configurations from peers that have them.
package fleet
