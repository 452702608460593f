// Package ratelimit admits callers' requests within their team's rate and
// burst. Request-serving goroutines call it; package quota makes the decisions.
package ratelimit
