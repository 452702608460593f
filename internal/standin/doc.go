// Package standin holds small stand-ins for the outside systems that
// chestnutarch meets: the key-value service, model engines, plain services, the
// VM list and the weight store. Each is an http.Handler that [Start] serves on
// its own IP address and port. Faults are switched and records read by calls
// below /standin/, as docs/PROTOCOLS.md gives them, or by the Go API.
//
// The stand-ins judge as well as answer: each keeps its own records of what it
// was asked to do, so that a test can hold the system's promises against them
// and not against the system's own logs.
package standin
