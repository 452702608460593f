package traffic

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/assign"
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

// logRefusal writes the line of a request that was refused before an upstream was
// looked for. j is nil if not even its route is known.
func (c *Core) logRefusal(q *Request, j *job, r *Refusal) {
	c.count(r.Reason, 0, 0)
	e := c.options.Log.Warn().Str("event", "request_refused").Str("request", q.ID).Int("status", r.Status).
		Str("reason", r.Reason).Dur("retry_after_ms", r.RetryAfter).Str("host", q.Host).Str("path", q.Path)
	if j != nil {
		e = e.Str("route", j.route.Name).Str("team", j.team).Float64("units", j.units).
			Float64("rate_level", j.rateLevel).Float64("rate_pace", j.ratePace).Int64("configuration", j.catalog.Version)
	}
	e.Send()
}

// logSent writes the line of one sending: where to and what decided it.
func (c *Core) logSent(j *job, choice *assign.Choice) {
	c.options.Log.Info().Str("event", "request_sent").Str("request", j.request.ID).Int("send", j.sends).
		Str("route", j.route.Name).Str("team", j.team).Str("service", j.service).Str("upstream", choice.Instance).
		Str("model", j.request.Model).Str("adapter", j.request.Adapter).Int("prompt", j.request.PromptTokens).
		Int("uncached", choice.Uncached).Int("beside", choice.Beside.Requests).Int("beside_others", choice.Beside.Others).
		Int("prefill_ahead", choice.Beside.PrefillTokens).Dur("report_age_ms", choice.Beside.ReportAge).Dur("expected_ms", choice.Expected).Bool("late", choice.Late).
		Dur("held_ms", time.Since(j.request.Arrived)).Dur("left_ms", time.Until(j.deadline)).
		Str("resume_after", j.last).Dur("upstreams_age_ms", c.options.UpstreamsAge()).
		Int64("configuration", j.catalog.Version).Send()
}

// logEnd writes the line that tells how a request ended. Everything but an answer has
// room of its own in the log, so that successes cannot push it out.
func (c *Core) logEnd(j *job) {
	took := time.Since(j.request.Arrived)
	c.count(j.outcome, took, j.first)
	c.countLateness(j)
	level := zerolog.WarnLevel
	if j.outcome == outcomeAnswered {
		level = zerolog.InfoLevel
	}
	e := c.options.Log.WithLevel(level).Str("event", "request_ended").Str("request", j.request.ID).
		Str("outcome", j.outcome).Int("status", j.status).Dur("retry_after_ms", j.retryAfter).
		Str("route", j.route.Name).Str("team", j.team).Str("upstream", j.upstream).
		Str("model", j.request.Model).Str("adapter", j.request.Adapter).
		Int("sends", j.sends).Int("ran", j.ran).Dur("first_ms", j.first).Dur("expected_ms", j.expected).Dur("objective_ms", j.due.Sub(j.request.Arrived)).
		Str("late", j.lateness()).Dur("longest_pause_ms", j.pauses.longest).Dur("pause_at_ms", j.pauses.at(j.request.Arrived)).
		Str("pause_after", j.pauses.after).Dur("pause_objective_ms", j.route.GapObjective).
		Dur("took_ms", took).Str("last_event", j.last).Int64("configuration", j.catalog.Version)
	if j.cause != nil {
		e = e.AnErr("cause", j.cause)
	}
	e.Send()
}
