// Package document defines the environment document, the single description of
// teams, keys, models, upstreams and routes that operators edit, and the checks that
// it has to pass before it is accepted. The package does no I/O.
package document
