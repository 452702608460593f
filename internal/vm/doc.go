// Package vm assembles the process that runs on every entry VM of the platform. It
// follows the store, knows the other VMs, serves callers through package traffic,
// answers where to connect, and, on the VM that leads, gives orders to engines.
package vm
