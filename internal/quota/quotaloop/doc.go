// Package quotaloop simulates a fleet of quota state machines in one event loop, with
// an in-memory network and key-value service. It is used for fuzzing and for
// measurements. It models neither engines nor any workload beyond the arrival of
// requests at the VMs.
package quotaloop
