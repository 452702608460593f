package telemetry

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
)

func TestLoggerWritesJSONEventsAtOrAboveItsLevel(t *testing.T) {
	s := LogSettings{Level: "warn"}
	s.Provision()
	require.NoError(t, s.Validate())
	var out bytes.Buffer
	log := NewLogger(&out, s)
	log.Info().Msg("left out")
	log.Warn().Str("vm", "a").Msg("kept")
	var event map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &event))
	require.Equal(t, "kept", event["message"])
	require.Equal(t, "a", event["vm"])
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	require.ErrorIs(t, (&LogSettings{Level: "loud", Format: FormatJSON}).Validate(), ErrLogLevel)
	require.ErrorIs(t, (&LogSettings{Level: "info", Format: "xml"}).Validate(), ErrLogFormat)
	for _, c := range []struct {
		settings TraceSettings
		want     error
	}{
		{TraceSettings{Exporter: "pigeon"}, ErrTraceExporter},
		{TraceSettings{Exporter: ExporterOTLP, Endpoint: "collector"}, ErrTraceEndpoint},
	} {
		c.settings.Provision()
		require.ErrorIs(t, c.settings.Validate(), c.want)
	}
	share := 1.5
	require.ErrorIs(t, (&TraceSettings{Exporter: ExporterNone, SampledShare: &share}).Validate(), ErrTraceShare)
}

// An operator enables traces to find a slow hop. Spans that are still queued in
// the exporter when the process stops must not be lost.
func TestTracesAreFlushedAtShutdown(t *testing.T) {
	before := otel.GetTracerProvider()
	defer otel.SetTracerProvider(before)
	s := TraceSettings{Exporter: ExporterStdout}
	s.Provision()
	var out bytes.Buffer
	stop, err := StartTracing(t.Context(), s, "chestnut-entry", "vm1", &out)
	require.NoError(t, err)
	_, span := otel.Tracer("test").Start(t.Context(), "a hop")
	span.End()
	require.NoError(t, stop(t.Context()))
	require.Contains(t, out.String(), `"Name":"a hop"`)
	require.Contains(t, out.String(), "vm1")
}

func TestMetricsAreServedAsJSON(t *testing.T) {
	r := metrics.NewRegistry()
	NewTimer(r, "caller.requests").Update(3 * time.Millisecond)
	answer := httptest.NewRecorder()
	MetricsHandler(r).ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
	var body map[string]map[string]any
	require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &body))
	require.InDelta(t, 1, body["caller.requests"]["count"], 0)
}

// Guards against a timer that is made, and kept by its package, for each request.
func TestTimersAndHistogramsAreMadeOnce(t *testing.T) {
	r := metrics.NewRegistry()
	require.Same(t, NewTimer(r, "timer"), NewTimer(r, "timer"))
	require.Same(t, NewHistogram(r, "histogram"), NewHistogram(r, "histogram"))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		NewTimer(r, "timer")
		NewHistogram(r, "histogram")
	}))
}
