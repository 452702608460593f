// Package patch computes and applies binary patches between versions of a value. A
// configuration of half a megabyte changes by a few hundred bytes at a time, and VMs forward
// it over narrow links that also carry callers' traffic. The package does no I/O.
//
// A patch is a Zstandard frame (RFC 8878) with the earlier version as its raw dictionary.
package patch
