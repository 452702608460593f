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

// NewTimer returns the timer of durations that is registered under name. It registers one if there is none.
func NewTimer(r metrics.Registry, name string) metrics.Timer {
	return r.GetOrRegister(name, makeTimer).(metrics.Timer)
}

// makeTimer makes a timer. Its meter stays in memory: the package go-metrics updates all meters that were ever made.
func makeTimer() metrics.Timer {
	return metrics.NewCustomTimer(makeHistogram(), metrics.NewMeter())
}

// NewHistogram returns the histogram of numbers without a unit that is registered under name. It registers one if there is none.
func NewHistogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name, makeHistogram).(metrics.Histogram)
}

func makeHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// MetricsHandler serves every metric of r as one JSON object: counters with
// "count", timers with percentiles in nanoseconds.
func MetricsHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	})
}
