// Package caller serves the callers' HTTP API: address answers, completions, streams and service calls.
package caller
