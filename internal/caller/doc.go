// Package caller serves the callers' HTTP API: address answers, completions,
// streams and service calls, as docs/CALLERS.md and docs/PROTOCOLS.md give
// them. It checks keys, takes tokens from the team's rate, asks the routing
// decision for an upstream and passes the answer on.
package caller
