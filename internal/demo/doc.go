// Package demo runs the whole system in one process: stand-ins for the
// platform and the upstreams, two entry VMs and a planner, on loopback. It is
// for trying chestnutarch out.
package demo
