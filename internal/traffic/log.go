package traffic

import (
	"time"

	"github.com/rs/zerolog"
)

// The outcomes of a request, as they stand in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "upstream_failure"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeCut      = "cut"
	outcomeLeft     = "caller_left"
)

func (c *Core) logRefusal(q *Request, j *job, r *Refusal) {
	c.count(r.Reason)
	e := c.options.Log.Info().Str("event", "request_refused").Str("request", q.ID).Int("status", r.Status).
		Str("reason", r.Reason).Dur("retry_after_ms", r.RetryAfter)
	if j != nil {
		e = e.Str("route", j.route.Name).Str("team", j.team).Int64("configuration", j.catalog.Version)
	}
	e.Send()
}

// logEnd writes the line that tells how a request ended and what decided it.
func (c *Core) logEnd(j *job, err error) {
	c.count(j.outcome)
	level := zerolog.InfoLevel
	if j.outcome == outcomeAnswered {
		level = zerolog.DebugLevel
	}
	e := c.options.Log.WithLevel(level)
	if level == zerolog.DebugLevel {
		e = c.options.Log.Debug()
	}
	e = e.Str("event", "request_ended").Str("request", j.request.ID).Str("outcome", j.outcome).
		Str("route", j.route.Name).Str("team", j.team).Str("upstream", j.upstream).
		Str("model", j.request.Model).Str("adapter", j.request.Adapter).Int("prompt", j.request.PromptTokens).
		Int("sends", j.sends).Int("ran", j.ran).Dur("first_ms", j.first).Dur("expected_ms", j.expected).
		Bool("late", j.late).Dur("took_ms", time.Since(j.request.Arrived)).Int64("configuration", j.catalog.Version)
	if j.cause != nil {
		e = e.AnErr("cause", j.cause)
	}
	e.Send()
}
