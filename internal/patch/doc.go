// Package patch turns a value into what is new against an earlier version of it. A
// configuration of half a megabyte changes by a few hundred bytes at a time, and VMs pass
// it on over links that are narrow and carry callers' traffic. It does no I/O.
//
// A patch is a Zstandard frame (RFC 8878) whose raw dictionary is the earlier version.
package patch
