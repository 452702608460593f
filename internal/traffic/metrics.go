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
