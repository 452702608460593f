//go:build race

package test

// buildFlags enables the race detector in the daemons if the tests run with it.
var buildFlags = []string{"-race"}
