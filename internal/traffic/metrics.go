package traffic

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// count counts an outcome with the time that the request took and the time to its
// first event. Zero times are not counted.
func (c *Core) count(outcome string, took, first time.Duration) {
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

// countLateness counts in what way an answer was late, and the longest pause of a stream
// in percent of its route's objective.
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
