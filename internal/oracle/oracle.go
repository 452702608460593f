// Package oracle helps tests to show that their oracles find faults: a walk that
// must pass as it is has to fail once a fault is planted.
package oracle

import (
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// NotFound means that no seed led to a failure.
const NotFound = -1

// Walk drives a state machine with draws from t and reports broken rules to
// oracle.
type Walk func(t *rapid.T, oracle require.TestingT)

// FirstSeed returns the first seed from 0 to seeds-1 under which a walk breaks
// a rule, or NotFound. Equal walks give equal seeds.
func FirstSeed(seeds int, walk Walk) int {
	for seed := range seeds {
		if fails(seed, walk) {
			return seed
		}
	}
	return NotFound
}

// failure is the value that a recorder panics with.
type failure struct{}

// recorder takes a broken rule without failing the test that runs.
type recorder struct{}

// Errorf does nothing: FailNow follows.
func (recorder) Errorf(string, ...any) {}

// FailNow ends the walk.
func (recorder) FailNow() { panic(failure{}) }

func fails(seed int, walk Walk) bool {
	failed := false
	generator := rapid.Custom(func(t *rapid.T) bool {
		defer func() {
			r := recover()
			if _, ok := r.(failure); ok {
				failed = true
			} else if r != nil {
				panic(r)
			}
		}()
		walk(t, recorder{})
		return true
	})
	generator.Example(seed)
	return failed
}
