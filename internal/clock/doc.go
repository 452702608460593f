// Package clock reads the monotonic and the wall clock together. A lease or a
// freshness limit that relies on only one of them can be extended by mistake: the
// monotonic clock may stand still while a VM is paused, and the wall clock may be
// set back.
package clock
