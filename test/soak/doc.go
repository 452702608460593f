// Package soak plays random faults against the real programs: chestnut-vm in processes of
// their own, between stand-ins of the platform's store, of engines and of plain services.
// Faults come from outside the processes: signals, proxies on loopback between all parts,
// and stand-ins that misbehave. What callers and upstreams see is held against the promises
// of the product. Everything is in test files; `go test ./test/soak -args -seeds 50` plays
// fifty seeds.
package soak
