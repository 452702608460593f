// Package layering holds the test that decision packages import nothing that
// does I/O, so that they can be stepped by any harness.
package layering
