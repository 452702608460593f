// Package route decides which engine serves a request: by the prompt's prefix,
// so that the engine's prefix cache is used, within bounds on load. It does no
// I/O and draws no random numbers of its own.
package route
