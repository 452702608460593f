// Package vmlist reads the platform's list of live and leaving VMs, which lags behind their
// actual state.
package vmlist
