// Command placementmeasure measures the placement: what a plan costs by size,
// and how the policy does against a static placement and a least-recently-used
// one on a trace of demand. It is a loop over function calls; engines are
// counters.
//
//	go run ./internal/placement/placementmeasure cost
//	go run ./internal/placement/placementmeasure policy
package main
