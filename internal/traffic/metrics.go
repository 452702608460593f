package traffic

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// countOutcome counts an outcome and records the duration of the request and the time to
// its first event. Zero durations are not recorded.
func (c *Core) countOutcome(outcome string, took, first time.Duration) {
	if c.options.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests."+outcome, c.options.Metrics).Inc(1)
	if took > 0 {
		telemetry.NewTimer(c.options.Metrics, "request_seconds."+outcome).Update(took)
	}
	if first > 0 {
		telemetry.NewTimer(c.options.Metrics, "first_event_seconds."+outcome).Update(first)
	}
}

// countPermit counts an answer to a request for a permit.
func (c *Core) countPermit(granted bool) {
	name := "permits.denied"
	if granted {
		name = "permits.granted"
	}
	c.increment(name)
}

// increment adds one to a counter.
func (c *Core) increment(name string) {
	if c.options.Metrics != nil {
		metrics.GetOrRegisterCounter(name, c.options.Metrics).Inc(1)
	}
}

// countHead counts an answer whose status is a promise to callers that its upstream does not make, and one that came behind
// answers to earlier requests.
func (c *Core) countHead(reply *Reply) {
	if reply.Skipped > 0 {
		c.increment("upstreams.answers_behind_others")
	}
	if !reply.NotExecuted && promisesNotRun(reply.Status) {
		c.increment("upstreams.promises_unstated")
	}
}

// countWithdrawn counts a request that was not sent to the upstream that was chosen for it.
func (c *Core) countWithdrawn() { c.increment("requests.withdrawn") }

// countUpstreamEnded counts an upstream that ended while it had a request, once for each request.
func (c *Core) countUpstreamEnded() { c.increment("requests.upstream_ended") }

// countEndsCleared counts a request whose answer clears the ends that were counted under it.
func (c *Core) countEndsCleared() { c.increment("requests.ends_cleared") }

// countForwarded counts a request that another VM has taken.
func (c *Core) countForwarded() { c.increment("requests.forwarded") }

// countResumed counts a stream with which an upstream is to go on, by how it is known which version began it.
func (c *Core) countResumed(source versionSource) { c.increment("streams.resumed." + string(source)) }

// countVersionUnknown counts a stream that cannot be resumed since nobody knows which version began it.
func (c *Core) countVersionUnknown() { c.increment("streams.version_unknown") }

// countHeldTooLong counts an answer that was ended because its reader stalled and the memory was needed for others.
func (c *Core) countHeldTooLong() { c.increment("answers.ended_for_memory") }

// countLateness counts the way in which a response was late. For an answered stream with at
// least two events it also records the longest pause between events, in percent of its route's
// gap objective, if the route has one.
func (c *Core) countLateness(j *job) {
	if c.options.Metrics == nil {
		return
	}
	if late := j.lateness(); late != "" {
		metrics.GetOrRegisterCounter("requests.late_"+late+"."+j.route.Name, c.options.Metrics).Inc(1)
	}
	if j.outcome != outcomeAnswered || j.route.GapObjective == 0 || j.pauses.longest == 0 {
		return
	}
	percent := 100 * j.pauses.longest / j.route.GapObjective
	telemetry.NewHistogram(c.options.Metrics, "longest_pause_percent."+j.route.Name).Update(int64(percent))
}
