// Package claim decides whether an action with an idempotency key may run. Before
// it runs, a claim on the key must be known to be in the key-value service. Claims
// stand in a fixed number of shards, each a ring of small segments that are changed
// by compare-and-swap on one key; claims that come together are written together.
// The package is a state machine: it does no I/O, reads no clock and draws no
// random numbers.
package claim
