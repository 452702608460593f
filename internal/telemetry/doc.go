// Package telemetry sets up what a process tells of itself: structured logs,
// metrics over HTTP and traces.
package telemetry
