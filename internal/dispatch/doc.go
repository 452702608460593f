// Package dispatch assigns queued requests to upstreams. One goroutine owns the
// queue of package admit and the router of package route; the goroutines that serve
// callers request an upstream from it and report back how the request ended.
package dispatch
