// Package poller reads the load reports of the engines in force and publishes
// what they say as one snapshot.
package poller
