package planted

import (
	"testing"

	"pgregory.net/rapid"
)

// mostSeeds bounds the search for a seed in the message of a failure.
const mostSeeds = 20_000

// Trial draws a run of a system and returns what its oracle found, nil if all
// was well.
type Trial func(t *rapid.T) error

// Found asserts that a trial with a planted fault is noticed under a seed. If it
// is not, the message names the first seed that notices it.
func Found(t *testing.T, seed int, trial Trial) {
	t.Helper()
	found := run(trial, seed)
	if found != nil {
		t.Logf("seed %d: %v", seed, found)
		return
	}
	for other := range mostSeeds {
		if found := run(trial, other); found != nil {
			t.Fatalf("seed %d finds nothing; seed %d does: %v", seed, other, found)
		}
	}
	t.Fatalf("none of %d seeds finds anything", mostSeeds)
}

func run(trial Trial, seed int) error {
	return rapid.Custom(func(t *rapid.T) error { return trial(t) }).Example(seed)
}
