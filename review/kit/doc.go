//go:build review

// Package kit starts chestnut-vm processes before stand-ins of the platform's store, replicas and consumers, for the cases of
// the review. Everything listens on loopback addresses.
package kit
