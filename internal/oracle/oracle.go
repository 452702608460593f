// Package oracle helps tests to show that their oracles find faults: a random walk
// that passes on the unmodified code must fail once a fault is injected.
package oracle

import (
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// NotFound means that no seed led to a failure.
const NotFound = -1

// Walk drives a state machine with random values drawn from t and reports rule
// violations to oracle.
type Walk func(t *rapid.T, oracle require.TestingT)

// FirstSeed returns the first seed from 0 to seeds-1 with which the walk violates
// a rule, or NotFound. The result is deterministic.
func FirstSeed(seeds int, walk Walk) int {
	for seed := range seeds {
		if walkFails(seed, walk) {
			return seed
		}
	}
	return NotFound
}

// ruleViolation is the value that a panickingT panics with.
type ruleViolation struct{}

// panickingT is a require.TestingT that ends the walk at a rule violation without
// failing the running test.
type panickingT struct{}

// Errorf does nothing: require calls FailNow after it.
func (panickingT) Errorf(string, ...any) {}

// FailNow ends the walk.
func (panickingT) FailNow() { panic(ruleViolation{}) }

func walkFails(seed int, walk Walk) bool {
	failed := false
	generator := rapid.Custom(func(t *rapid.T) bool {
		defer func() {
			r := recover()
			if _, ok := r.(ruleViolation); ok {
				failed = true
			} else if r != nil {
				panic(r)
			}
		}()
		walk(t, panickingT{})
		return true
	})
	generator.Example(seed)
	return failed
}
