// Package telemetry sets up the telemetry of a process: structured logs, metrics
// over HTTP and traces.
package telemetry
