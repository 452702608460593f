package resume

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// recoveryWalk draws a random sequence of progress and failures. The oracle counts
// consecutive failures and moves.
func recoveryWalk(faults recoveryFaults) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		r := NewRecovery(Options{})
		r.faults = faults
		failures, moves := 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "exchanges") {
			if rapid.Bool().Draw(t, "progress") {
				r.Progress()
				failures = 0
			}
			failure := rapid.SampledFrom([]Failure{Broken, Broken, Broken, NotSent, UnknownStream, Refused, Invalid}).Draw(t, "break")
			failures++
			step, _ := r.NextStep(failure)
			switch step {
			case Resume:
				require.LessOrEqual(o, failures, DefaultMaxResumes, "the stream was resumed too often at an engine that does not answer")
				require.NotContains(o, []Failure{UnknownStream, Refused, Invalid}, failure)
			case Move:
				moves++
				failures = 0
				require.LessOrEqual(o, moves, DefaultMaxMoves)
			case GiveUp:
				tooEarly := failure == Broken && failures == 1
				require.False(o, tooEarly, "a stream that made progress was given up at the next failure")
				return
			}
		}
	}
}

// Engines reset connections, go silent, restart and leave in any order. Guards against
// giving up a stream that its engine still generates, and against resuming for ever at
// an engine that is dead.
func TestRecoveryStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { recoveryWalk(recoveryFaults{})(t, t) })
}

func TestPlantedRecoveryFaultsAreFound(t *testing.T) {
	for name, f := range map[string]recoveryFaults{
		"forgetProgress": {forgetProgress: true},
		"resumeForEver":  {resumeForEver: true},
	} {
		first := oracle.FirstSeed(100, recoveryWalk(f))
		require.NotEqual(t, oracle.NotFound, first, "planted fault %s was not found", name)
		t.Logf("planted fault %s: found with seed %d", name, first)
	}
}
