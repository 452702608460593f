// Package resume makes and checks the event IDs of streams towards callers. An
// event ID is a signed token that says whose stream it is, which engine makes it
// and how far the caller has got, so that any VM can go on with the stream and
// none has to remember it. The package also decides what to do when the exchange
// with an engine breaks. It does no I/O.
package resume
