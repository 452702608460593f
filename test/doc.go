// Package test runs scenarios over the real binaries: each is a script in
// scenarios/ that starts a small environment on loopback addresses, causes a
// fault and holds the promises against the stand-ins' own records.
// docs/TESTING.md describes the commands.
package test
