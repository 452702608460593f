// Command quotameasure measures the quota leases by a plain loop: how much of
// what an ideal single bucket admits they refuse, against equal static parts,
// and what they cost in messages, bytes, processor time and calls to the
// key-value service at several sizes of fleet.
//
//	go run ./internal/quota/quotaloop/quotameasure refusals
//	go run ./internal/quota/quotaloop/quotameasure cost
package main
