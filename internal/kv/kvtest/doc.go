// Package kvtest provides an in-memory key-value service for tests, with fault
// injection. Its time is that of a supplied clock, and it starts no goroutine.
package kvtest
