// Package kv is the client of the platform's key-value service. It offers what
// the service promises and nothing more: get, compare-and-swap on one key,
// leases and watches.
package kv
