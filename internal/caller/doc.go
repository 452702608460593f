// Package caller implements the callers' HTTP API: entry addresses, completions,
// streams and service calls, as specified in docs/CALLERS.md and
// docs/PROTOCOLS.md. It authenticates requests, charges them to the team's rate,
// acquires an upstream and relays the answer.
package caller
