package traffic

import metrics "github.com/rcrowley/go-metrics"

// count counts an outcome.
func (c *Core) count(outcome string) {
	if c.options.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests."+outcome, c.options.Metrics).Inc(1)
}
