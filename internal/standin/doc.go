// Package standin holds small stand-ins for the external systems that
// chestnutarch depends on: the key-value service, model engines, plain services,
// the VM list and the weight store. Each is an http.Handler that [Start] serves
// on its own IP address and port. Faults are set and records are read by calls
// below /standin/, as described in docs/PROTOCOLS.md, or through the Go API.
//
// Each stand-in keeps its own records of the calls that it received, so that a
// test can check the system's guarantees against them and does not depend on
// the system's own logs.
package standin
