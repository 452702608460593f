package telemetry

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"
)

// quantiles are the quantiles of each exposed summary.
var quantiles = []float64{0.5, 0.95, 0.99}

// TextHandler serves every metric of r in the Prometheus text format. A name such as
// "requests.answered" becomes "chestnut_requests_answered".
func TextHandler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		format := expfmt.NewFormat(expfmt.TypeTextPlain)
		w.Header().Set("Content-Type", string(format))
		encoder := expfmt.NewEncoder(w, format)
		var encodeErr error
		r.Each(func(name string, metric any) {
			family := metricFamily(name, metric)
			if family == nil || encodeErr != nil {
				return
			}
			encodeErr = errors.WithStack(encoder.Encode(family))
		})
	})
}

func metricFamily(name string, metric any) *dto.MetricFamily {
	out := &dto.MetricFamily{Name: proto.String("chestnut_" + strings.NewReplacer(".", "_", "-", "_").Replace(name))}
	switch m := metric.(type) {
	case metrics.Counter:
		out.Type = dto.MetricType_COUNTER.Enum()
		out.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: proto.Float64(float64(m.Snapshot().Count()))}}}
	case metrics.Gauge:
		out.Type = dto.MetricType_GAUGE.Enum()
		out.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(float64(m.Value()))}}}
	case metrics.GaugeFloat64:
		out.Type = dto.MetricType_GAUGE.Enum()
		out.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: proto.Float64(m.Value())}}}
	case metrics.Timer:
		out.Type = dto.MetricType_SUMMARY.Enum()
		out.Metric = []*dto.Metric{{Summary: newSummary(m.Snapshot(), nanosecondsPerSecond)}}
	case metrics.Histogram:
		out.Type = dto.MetricType_SUMMARY.Enum()
		out.Metric = []*dto.Metric{{Summary: newSummary(m.Snapshot(), 1)}}
	default:
		return nil
	}
	return out
}

// nanosecondsPerSecond converts timers, which count in nanoseconds and are exposed in
// seconds.
const nanosecondsPerSecond = 1e9

// distribution is the common part of the snapshots of timers and histograms.
type distribution interface {
	Count() int64
	Sum() int64
	Percentiles([]float64) []float64
}

// newSummary converts a distribution into a summary, with values divided by unit.
func newSummary(s distribution, unit float64) *dto.Summary {
	out := &dto.Summary{SampleCount: proto.Uint64(uint64(s.Count())), SampleSum: proto.Float64(float64(s.Sum()) / unit)}
	for i, v := range s.Percentiles(quantiles) {
		out.Quantile = append(out.Quantile, &dto.Quantile{Quantile: proto.Float64(quantiles[i]), Value: proto.Float64(v / unit)})
	}
	return out
}
