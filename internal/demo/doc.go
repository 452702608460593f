// Package demo runs the whole system in one process on loopback, for
// demonstration: stand-ins for the platform and the upstreams, two entry VMs and
// a planner.
package demo
