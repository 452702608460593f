// Package ratelimit admits callers' requests within their team's rate and
// burst. It is what the traffic goroutines call; the decisions are in quota.
package ratelimit
