// Package route selects the engine that serves a request. It routes by the
// prompt's prefix, so that engines' prefix caches are used, within bounds on
// load. It does no I/O, and random numbers come from a generator that the caller
// passes in.
package route
