// Package kv is the client of the platform's key-value service. It offers only
// operations that the service guarantees: get, compare-and-swap on one key,
// leases and watches.
package kv
