// Package test runs scenarios against the real binaries. Each is a script in
// scenarios/ that starts a small environment on loopback addresses, injects
// faults and checks the guarantees of the product against the records of the
// stand-ins. docs/TESTING.md describes the commands.
package test
