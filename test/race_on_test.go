//go:build race

package test

// buildFlags builds the daemons with the race detector when the tests have it.
var buildFlags = []string{"-race"}
