// Package upstream describes the instances of all services: their addresses, whether they
// accept requests, and the models and adapters that an engine holds.
package upstream
