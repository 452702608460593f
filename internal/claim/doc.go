// Package claim decides whether an action with an idempotency key may run. An action
// runs only after its claim on the key is confirmed in the key-value service. Claims
// are stored in a fixed number of shards. Each shard is a ring of small segments; a
// segment is the value of one key and is changed by compare-and-swap. Concurrent claims
// on a shard are batched into one write. The package is a state machine: it does no
// I/O, reads no clock and draws no random numbers.
package claim
