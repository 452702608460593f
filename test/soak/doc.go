// Package soak injects random faults into chestnut-vm processes that run against stand-ins of
// the platform's store, of engines and of plain services. Faults come from outside the
// processes: signals, loopback proxies on all connections, and stand-ins that misbehave. An
// oracle compares what callers and upstreams observe with the guarantees of the product.
// Everything is in test files; `go test ./test/soak -args -seeds 50` runs fifty seeds.
package soak
