// Command trafficmeasure measures the decisions about traffic as pure functions,
// each beside the simple ways that it replaces: which engine serves a request,
// which team goes first, and which VM a flash crowd is sent to. Its figures depend on
// nothing but its seed: it has no clock, no network and no engine of its own beyond
// a line of requests that are read one after the other.
package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"
)

// seed starts every draw.
const seed = 1

// start is the time at which every run begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

// share returns n of all in per cent.
func share(n, all int) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(n) / float64(all)
}
