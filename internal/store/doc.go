// Package store is the interface to the key-value store of the platform, which holds all
// state that must be durable or agreed between VMs.
package store
