package traffic

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/assign"
	"github.com/chestnutarch/chestnutarch/internal/quarantine"
	"github.com/chestnutarch/chestnutarch/internal/upstream"
)

// Outcomes of a request, as written to logs and metrics.
const (
	outcomeAnswered   = "answered"
	outcomeFailed     = "upstream_failure"
	outcomeRefused    = "refused"
	outcomeUnknown    = "unknown"
	outcomeTruncated  = "cut"
	outcomeCallerLeft = "caller_left"
)

// logRefusal logs a request that was refused before an upstream was selected. j is nil
// if its route is unknown.
func (c *Core) logRefusal(q *Request, j *job, r *Refusal) {
	c.countOutcome(r.Reason, 0, 0)
	e := c.options.Log.Warn().Str("event", "request_refused").Str("request", q.ID).Int("status", r.Status).
		Str("reason", r.Reason).Dur("retry_after_ms", r.RetryAfter).Str("host", q.Host).Str("path", q.Path)
	if j != nil {
		e = e.Str("route", j.route.Name).Str("team", j.team).Float64("units", j.units).
			Str("part", j.quarantinedPart()).Float64("rate_level", j.rate.Level).Float64("rate_pace", j.rate.Local).Int("rate_late_vms", j.rate.LateVMs).
			Float64("rate_assumed", j.rate.Assumed).Dur("rate_oldest_report_ms", j.rate.OldestReport).Int64("configuration", j.catalog.Version)
	}
	e.Send()
}

// logSent logs one send of a request to an upstream, with the inputs of the choice.
func (c *Core) logSent(j *job, choice *assign.Choice) {
	c.options.Log.Info().Str("event", "request_sent").Str("request", j.request.ID).Int("send", j.sends).
		Str("route", j.route.Name).Str("team", j.team).Str("service", j.service).Str("upstream", choice.Instance).
		Str("model", j.request.Model).Str("adapter", j.request.Adapter).Int("prompt", j.request.PromptTokens).
		Int("uncached", choice.Uncached).Int("beside", choice.KnownLoad.Requests).Int("beside_others", choice.KnownLoad.PeerRequests).
		Int("prefill_ahead", choice.KnownLoad.PrefillTokens).Dur("report_age_ms", choice.KnownLoad.ReportAge).Dur("expected_ms", choice.Expected).Bool("late", choice.Late).
		Bool("rate_limited", choice.NeedsPermit && !choice.Brittle).Bool("brittle", choice.Brittle).
		Dur("held_ms", time.Since(j.request.Arrived)).Dur("placed_ms", time.Since(choice.PlacedAt())).Dur("left_ms", time.Until(j.deadline)).
		Str("version", choice.Version).Str("resume_after", j.resumeAfter()).Str("resumes", j.request.Resumes).Dur("upstreams_age_ms", c.options.UpstreamsAge()).
		Str("upstreams_revision", c.options.UpstreamsRevision()).Int64("configuration", j.catalog.Version).Send()
}

// logResumed logs that an upstream is to go on with a stream, and how it is known which version began it.
func (c *Core) logResumed(j *job, choice *assign.Choice) {
	c.countResumed(j.versionSource)
	e := c.options.Log.Info().Str("event", "stream_resumed").Str("request", j.request.ID).Str("resumes", j.request.Resumes).
		Str("resume_after", j.resumeAfter()).Str("version", j.version).Str("source", string(j.versionSource)).
		Str("upstream", choice.Instance).Str("upstream_version", choice.Version)
	if !j.begunAt.IsZero() {
		e = e.Dur("age_ms", time.Since(j.begunAt))
	}
	e.Send()
}

// logWithdrawn logs that a request was not sent to the upstream that was chosen for it.
func (c *Core) logWithdrawn(j *job, choice *assign.Choice) {
	c.countWithdrawn()
	c.options.Log.Info().Str("event", "request_withdrawn").Str("request", j.request.ID).Str("upstream", choice.Instance).
		Dur("placed_ms", time.Since(choice.PlacedAt())).Str("upstreams_revision", c.options.UpstreamsRevision()).Send()
}

// logSendFailed logs that a send gave no response to forward, with the hash that attempts of the same request share, the
// parts of its prompt that other requests may share, and whether the upstream had sent an event.
func (c *Core) logSendFailed(j *job, choice *assign.Choice, failed *failure) {
	c.options.Log.Info().Str("event", "send_failed").Str("request", j.request.ID).Int("send", j.sends).Str("upstream", choice.Instance).
		Str("kind", failed.kind.String()).Str("contents", contentsName(j.contentsHash())).
		Strs("parts", j.request.sharedParts()).Bool("begun", j.begun()).
		Int("answer_status", j.answer.status).Bool("answer_not_executed", j.answer.notExecuted).
		Dur("answer_after_ms", j.answer.after).Int("connection_uses", j.answer.uses).
		Dur("after_ms", time.Since(choice.PlacedAt())).AnErr("cause", failed.err).Send()
	if errors.Is(failed.err, ErrMismatchedReply) {
		c.increment("upstreams.answers_mismatched")
	}
	if oversized := oversizedIn(failed.err); oversized != nil {
		c.increment("upstreams.oversized_" + oversized.Part)
		c.options.Log.Warn().Str("event", "upstream_oversized").Str("request", j.request.ID).Str("instance", choice.Instance).
			Str("part", oversized.Part).Int("bound", oversized.Bound).Send()
	}
}

// contentsName returns the form of a contents hash in logs.
func contentsName(q quarantine.Key) string { return strconv.FormatUint(uint64(q), 16) }

// logUpstreamEnded logs that an upstream has ended while it had a request.
func (c *Core) logUpstreamEnded(u unanswered) {
	c.countUpstreamEnded()
	c.options.Log.Warn().Str("event", "upstream_ended").Str("request", u.request).Str("instance", u.sentTo.ID).Str("contents", contentsName(u.contents)).
		Int("ends", c.options.Quarantine.Ends(u.contents)).Send()
}

// logRequestTrial logs that a request is sent although it is suspected to end upstreams.
func (c *Core) logRequestTrial(j *job) {
	c.options.Log.Warn().Str("event", "request_tried").Str("request", j.request.ID).Str("contents", contentsName(j.contentsHash())).
		Int("ends", c.options.Quarantine.Ends(j.contentsHash())).Send()
}

// logPartTrial logs that a request is sent although a part of its prompt is quarantined.
func (c *Core) logPartTrial(j *job) {
	c.options.Log.Warn().Str("event", "part_tried").Str("request", j.request.ID).Str("part", j.quarantinedPart()).
		Str("contents", contentsName(j.quarantined.Key)).Int("ends", c.options.Quarantine.Ends(j.quarantined.Key)).Send()
}

// logEndsCleared logs that ends of upstreams do not count any more since the request was answered.
func (c *Core) logEndsCleared(j *job, ends, status int) {
	c.countEndsCleared()
	c.options.Log.Info().Str("event", "ends_cleared").Str("request", j.request.ID).Str("instance", j.upstream).
		Str("contents", contentsName(j.contentsHash())).Int("ends", ends).Int("status", status).Send()
}

// logPartCleared logs that ends of upstreams do not count against a part of prompts any more, since an answer has begun.
func (c *Core) logPartCleared(j *job, part quarantine.Key) {
	c.options.Log.Info().Str("event", "part_cleared").Str("request", j.request.ID).Str("instance", j.upstream).
		Str("contents", contentsName(part)).Send()
}

// logBreakNotCounted logs that an exchange without an answer does not count as the end of its upstream for now, and why.
func (c *Core) logBreakNotCounted(j *job, reason string) {
	c.options.Log.Info().Str("event", "break_not_counted").Str("request", j.request.ID).Str("instance", j.sentTo.ID).
		Str("contents", contentsName(j.contentsHash())).Str("reason", reason).Send()
}

// logForwarded logs that another VM has taken a request, and err if its connection broke.
func (c *Core) logForwarded(j *job, err error) {
	c.countForwarded()
	c.options.Log.Info().Str("event", "request_forwarded").Str("request", j.request.ID).Str("service", j.service).
		Bool("cut", c.options.Reach.Cut(j.service)).AnErr("cause", err).Send()
}

// logRateLimit logs that an upstream has begun or ceased to name a rate limit, or has changed it.
func (c *Core) logRateLimit(instance string, limit upstream.RateLimit) {
	c.options.Log.Info().Str("event", "upstream_rate_limit").Str("instance", instance).Bool("named", limit.Named).
		Float64("per_second", limit.PerSecond).Bool("brittle", limit.Brittle).Int("max_rejections", limit.MaxRejections).Str("peer", "").Send()
}

// logRateLimitUnreadable logs that an answer of an upstream names a rate limit that cannot be read.
func (c *Core) logRateLimitUnreadable(instance string, err error) {
	c.options.Log.Debug().Str("event", "upstream_rate_limit_unreadable").Str("instance", instance).AnErr("cause", err).Send()
}

// logBrittleUnreadable logs that an answer of a brittle upstream does not say how many requests it may reject.
func (c *Core) logBrittleUnreadable(instance string, err error) {
	c.options.Log.Warn().Str("event", "upstream_brittle_unreadable").Str("instance", instance).AnErr("cause", err).Send()
}

// logLoadUnusable logs that the load which an answer of an upstream reports cannot be read, or cannot be true.
func (c *Core) logLoadUnusable(instance string, err error) {
	c.increment("upstreams.loads_unusable")
	c.options.Log.Debug().Str("event", "upstream_load_unusable").Str("instance", instance).AnErr("cause", err).Send()
}

// logSlowdown logs that work takes longer or shorter at an upstream than was expected.
func (c *Core) logSlowdown(instance string, slowdown, expected float64) {
	c.increment("upstreams.slowdowns")
	c.options.Log.Info().Str("event", "upstream_slowdown").Str("instance", instance).Float64("slowdown", slowdown).
		Float64("expected", expected).Str("peer", "").Send()
}

// logLeaving logs that the answer to a request says that its upstream leaves.
func (c *Core) logLeaving(request string, i *upstream.Instance) {
	c.options.Log.Info().Str("event", "upstream_leaving").Str("request", request).Str("instance", i.ID).
		Bool("draining", i.Draining).Dur("upstreams_age_ms", c.options.UpstreamsAge()).Send()
}

// logRetryAfter logs that an upstream has rejected a request and wants no others for a time.
func (c *Core) logRetryAfter(request, instance string, d time.Duration) {
	c.options.Log.Info().Str("event", "upstream_retry_after").Str("request", request).Str("instance", instance).
		Dur("retry_after_ms", d).Send()
}

// logRetryAfterUnreadable logs that an upstream has rejected a request for a time that cannot be read.
func (c *Core) logRetryAfterUnreadable(instance string, err error) {
	c.options.Log.Debug().Str("event", "upstream_retry_after_unreadable").Str("instance", instance).AnErr("cause", err).Send()
}

// logHeldTooLong logs that an answer was ended because its reader stalled and the memory was needed for others.
func (c *Core) logHeldTooLong(j *job, answer *heldAnswer) {
	c.countHeldTooLong()
	c.options.Log.Warn().Str("event", "answer_ended_for_memory").Str("request", j.request.ID).Str("route", j.route.Name).
		Str("team", j.team).Str("upstream", j.upstream).Int("unsent_bytes", answer.unsent()).
		Int64("held_bytes", c.options.Answers.Held()).Int64("limit_bytes", c.options.Answers.Limit()).Send()
}

// logEnd logs how a request ended. Lines of requests that were not answered have warn
// level, for which the log reserves buffer space, so that a flood of successes cannot
// displace them.
func (c *Core) logEnd(j *job) {
	took := time.Since(j.request.Arrived)
	if !j.fromVM {
		c.countOutcome(j.outcome, took, j.timeToFirst)
		c.countLateness(j)
	}
	level := zerolog.WarnLevel
	if j.outcome == outcomeAnswered {
		level = zerolog.InfoLevel
	}
	e := c.options.Log.WithLevel(level).Str("event", "request_ended").Str("request", j.request.ID).
		Str("outcome", j.outcome).Bool("from_vm", j.fromVM).Int("status", j.status).Dur("retry_after_ms", j.retryAfter).
		Str("route", j.route.Name).Str("team", j.team).Float64("units", j.units).Str("upstream", j.upstream).
		Str("model", j.request.Model).Str("adapter", j.request.Adapter).
		Int("sends", j.sends).Int("ran", j.possibleRuns).Int("answer_status", j.answer.status).Bool("answer_not_executed", j.answer.notExecuted).Dur("first_ms", j.timeToFirst).Dur("expected_ms", j.expected).Dur("objective_ms", j.due.Sub(j.request.Arrived)).
		Str("late", j.lateness()).Dur("longest_pause_ms", j.pauses.longest).Dur("pause_at_ms", j.pauses.longestStart(j.request.Arrived)).
		Str("pause_after", j.pauses.longestAfterID).Dur("pause_objective_ms", j.route.GapObjective).
		Dur("took_ms", took).Dur("left_ms", time.Until(j.deadline)).Str("waited_for", string(j.waitingFor)).Dur("write_wait_ms", j.writeWait).Str("last_event", j.lastEventID).Int64("configuration", j.catalog.Version)
	if j.cause != nil {
		e = e.AnErr("cause", j.cause)
	}
	e.Send()
}
