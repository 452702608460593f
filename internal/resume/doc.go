// Package resume creates and verifies the event IDs of the streams sent to callers.
// An event ID is a signed token that identifies the team, the engine and the caller's
// position in the stream, so that any VM can resume the stream without stored state.
// The package also decides how to recover when the exchange with an engine fails. It
// does no I/O.
package resume
