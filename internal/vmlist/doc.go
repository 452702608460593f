// Package vmlist reads the platform's list of live and leaving VMs, which lags behind the truth.
package vmlist
