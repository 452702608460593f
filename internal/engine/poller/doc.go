// Package poller reads the load reports of the engines in the active configuration and
// publishes their state as one snapshot.
package poller
