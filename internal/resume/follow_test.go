package resume

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/oracle"
)

// followWalk lets an engine make progress and break in any order. The oracle
// counts tries in a row and moves.
func followWalk(faults followFaults) oracle.Walk {
	return func(t *rapid.T, o require.TestingT) {
		f := NewFollow(Options{})
		f.faults = faults
		failed, moves := 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "exchanges") {
			if rapid.Bool().Draw(t, "progress") {
				f.Progress()
				failed = 0
			}
			broken := rapid.SampledFrom([]Break{Broken, Broken, Broken, NotSent, UnknownStream, Refused, Invalid}).Draw(t, "break")
			failed++
			step, _ := f.Broke(broken)
			switch step {
			case Resume:
				require.LessOrEqual(o, failed, DefaultResumes, "a dead engine was not left")
				require.NotContains(o, []Break{UnknownStream, Refused, Invalid}, broken)
			case Move:
				moves++
				failed = 0
				require.LessOrEqual(o, moves, DefaultMoves)
			case GiveUp:
				soon := broken == Broken && failed == 1
				require.False(o, soon, "a stream that made progress was given up at its next break")
				return
			}
		}
	}
}

// Engines reset, go silent, restart and leave in any order. A caller would notice
// an answer that was given up although its engine still makes it, or one that
// hangs on an engine that is dead.
func TestStreamsAreFollowedWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { followWalk(followFaults{})(t, t) })
}

func TestPlantedFollowFaultsAreFound(t *testing.T) {
	for name, f := range map[string]followFaults{
		"forgetProgress": {forgetProgress: true},
		"resumeForEver":  {resumeForEver: true},
	} {
		first := oracle.FirstSeed(100, followWalk(f))
		require.NotEqual(t, oracle.NotFound, first, "%s was not found", name)
		t.Logf("%s: found with seed %d", name, first)
	}
}
