// Package quotaloop steps many quota state machines by a plain loop over an
// in-memory network and key-value service, for fuzzing and for measuring. It
// models no engines and no workload beyond arrivals at the VMs.
package quotaloop
