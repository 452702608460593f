// Command placementmeasure measures the placement policy: the cost of a plan by
// fleet size, and how the planner compares with a static placement and with a
// least-recently-used policy on a demand trace. It simulates the fleet in one
// process with function calls; engines are counters.
//
//	go run ./internal/placement/placementmeasure cost
//	go run ./internal/placement/placementmeasure policy
package main
