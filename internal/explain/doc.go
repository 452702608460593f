// Package explain reconstructs from collected logs what happened to one request. It opens
// no files: it reads log lines from a reader and returns a report.
package explain
