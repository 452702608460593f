package telemetry

import (
	"net/http"

	metrics "github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying sample of timers and histograms: it
// covers about the last five minutes, weighted towards the newest values.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// NewTimer registers a timer of durations under name and returns it.
func NewTimer(r metrics.Registry, name string) metrics.Timer {
	timer := metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha)), metrics.NewMeter())
	return r.GetOrRegister(name, timer).(metrics.Timer)
}

// NewHistogram registers a histogram of numbers without a unit under name and
// returns it.
func NewHistogram(r metrics.Registry, name string) metrics.Histogram {
	histogram := metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	return r.GetOrRegister(name, histogram).(metrics.Histogram)
}

// MetricsHandler serves every metric of r as one JSON object: counters with
// "count", timers with percentiles in nanoseconds.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	})
}
