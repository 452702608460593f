// Package vm assembles the process that runs on every entry VM of the platform. It watches
// the store, exchanges reports with the other VMs, serves callers through package traffic,
// answers requests for entry addresses, and, on the leader, sends orders to engines.
package vm
