// Package dispatch brings requests and upstreams together. One goroutine owns the
// queue of package admit and the choice of package route; the goroutines that serve
// callers ask it for an upstream and tell it how the request ended.
package dispatch
