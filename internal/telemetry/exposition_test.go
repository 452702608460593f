package telemetry

import (
	"net/http/httptest"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestTextHandlerWritesThePrometheusFormat(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.answered", r).Inc(3)
	metrics.GetOrRegisterGauge("queue.waiting", r).Update(2)
	NewTimer(r, "first.answered").Update(250 * time.Millisecond)
	w := httptest.NewRecorder()
	TextHandler(r).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), "chestnut_requests_answered 3")
	require.Contains(t, w.Body.String(), "chestnut_queue_waiting 2")
	require.Contains(t, w.Body.String(), `chestnut_first_answered{quantile="0.5"} 0.25`)
	require.Contains(t, w.Body.String(), "chestnut_first_answered_count 1")
}
