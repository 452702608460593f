// Command quotameasure measures the quota leases in the simulation of package
// quotaloop:
//
//   - refusals: how much of what an ideal single bucket admits the leases refuse,
//     compared with equal static parts
//   - cost: messages, bytes, processor time, memory and calls to the key-value
//     service at several fleet sizes
//   - wire: bytes and processor time of one call between VMs
//
// Usage:
//
//	go run ./internal/quota/quotaloop/quotameasure refusals
//	go run ./internal/quota/quotaloop/quotameasure cost
//	go run ./internal/quota/quotaloop/quotameasure wire
package main
