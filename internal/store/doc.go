// Package store is the seam to the key-value store of the platform, in which
// everything lives that has to last or to be agreed between VMs.
package store
