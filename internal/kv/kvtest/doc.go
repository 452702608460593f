// Package kvtest holds an in-memory key-value service for tests, with switches
// for the service's faults. It is stepped with a supplied clock and starts no
// goroutine.
package kvtest
