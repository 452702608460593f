// Package changelog keeps keys in the order of their last change, so that what has changed since a
// given change can be listed without a look at every key. It does no I/O and is not safe for
// concurrent use.
package changelog
