// Command trafficmeasure measures the traffic decisions as pure functions and
// compares each with the simpler policies that it replaces: which engine serves a
// request, which team is served first, which VM the callers of a flash crowd are
// sent to, and which VM writes the claim on an action. Its figures depend only on
// its seed: it uses no clock and no network, and an engine is simulated as a queue
// of prompts that are processed one after the other.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// seed is the seed of every random number generator.
const seed = 1

// startTime is the simulated time at which every run starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func main() {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	measureRouting(w)
	measureFairness(w)
	measureFlashCrowd(w)
	measureClaims(w)
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// percent returns n as a percentage of all, or 0 if all is 0.
func percent(n, all int) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(n) / float64(all)
}
