package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/standin"
)

// startTestEntry starts a server that returns itself as the only address and
// forwards every call to one engine or service, so that the load tool is tested
// without an entry VM.
func startTestEntry(t *testing.T, engine, service http.Handler) string {
	t.Helper()
	var srv *httptest.Server
	var calls atomic.Int64
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/addresses":
			fmt.Fprintf(w, `{"addresses":[{"url":%q}],"ttl_ms":1000}`, srv.URL)
		case r.Header.Get("Authorization") != "Bearer k":
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"error":{"type":"rate_limited","outcome":"not_run"}}`))
		case strings.HasPrefix(r.URL.Path, "/services/"):
			service.ServeHTTP(w, r)
		default:
			r.Header.Set("X-Request-Id", fmt.Sprint(calls.Add(1)))
			engine.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func newTestEngine(t *testing.T) *standin.Engine {
	t.Helper()
	e := standin.NewEngine(standin.EngineOptions{
		TimeScale: 100, Resident: []standin.ResidentOption{{Model: "m", Version: "v1", Memory: document.GiB}},
	})
	t.Cleanup(e.Close)
	return e
}

func newTestWorkload(t *testing.T, entry string) *Workload {
	t.Helper()
	w, err := ParseWorkload("w.yaml", []byte(`
name: test
entries: [`+entry+`]
duration: 1s
teams:
- name: studios
  key: k
  calls:
  - {kind: chat, rate: 50, models: [m], max_tokens: 20, prefixes: 2, prefix_tokens: 100}
  - {kind: completion, shape: flash_crowd, window: 500ms, callers: 10, models: [m], max_tokens: 20}
  - {kind: action, rate: 20, path: /deposits}
- name: refused
  key: wrong
  rate: 1
  burst: 1
  calls:
  - {kind: action, rate: 20, path: /deposits}
`))
	require.NoError(t, err)
	return w
}

// Complete answers count as whole, requests with a wrong key as refused, and the
// table, the plots and the JSON report can be written.
func TestRunClassifiesCompleteAnswers(t *testing.T) {
	w := newTestWorkload(t, startTestEntry(t, newTestEngine(t), standin.NewService(standin.ServiceOptions{})))
	report, err := Run(t.Context(), w)
	require.NoError(t, err)
	studios := report.Teams[0]
	require.Equal(t, studios.Requests, studios.Outcomes[Whole], "%v", report.Reasons)
	refused := report.Teams[1]
	require.Equal(t, refused.Requests, refused.Outcomes[Refused])
	require.Equal(t, refused.Requests, report.RefusedInside+report.RefusedOutside)
	require.Positive(t, report.RefusedInside)
	require.Equal(t, "refused", report.WorstTeam)
	var table, plots bytes.Buffer
	require.NoError(t, report.WriteTable(&table))
	require.Contains(t, table.String(), "refused inside the rate")
	require.NoError(t, report.WritePlots(&plots))
	_, err = json.Marshal(report)
	require.NoError(t, err)
}

// Five streams are truncated after three events, and one answer has the text of
// another prompt. None of them may count as whole.
func TestRunClassifiesBrokenAnswers(t *testing.T) {
	e := newTestEngine(t)
	e.SetFaults(&standin.EngineFaults{TruncateStreams: 5, AfterEvents: 3})
	w := newTestWorkload(t, startTestEntry(t, e, standin.NewService(standin.ServiceOptions{})))
	w.MaxResumes = 0
	report, err := Run(t.Context(), w)
	require.NoError(t, err)
	require.Equal(t, 5, report.Total.Outcomes[Cut])

	x := exchange{call: &Call{Kind: KindCompletion, MaxTokens: 20}, arrival: Arrival{Model: "m", Prompt: "mine"}}
	x.text.WriteString(standin.Generate("m", "another's", 20, false).Text())
	x.verifyText()
	require.Equal(t, Damaged, x.result.Outcome)
}

// The schedule depends only on the workload and its seed: otherwise two runs of
// one workload could differ because of their requests and not because of the
// system. A surge multiplies the arrivals in its part of the run.
func TestScheduleIsDeterministic(t *testing.T) {
	w := newTestWorkload(t, "http://127.0.0.1:1")
	require.Equal(t, Schedule(w), Schedule(w))
	w.Teams[0].Calls[0].Shape = ShapeSurge
	w.Teams[0].Calls[0].setDefaults(w.Duration)
	w.Teams[0].Calls[0].Rate = 1000
	counts := make([]int, 3)
	for _, a := range Schedule(w) {
		counts[a.At*3/w.Duration]++
	}
	require.Greater(t, counts[1], 3*counts[0])
}

// The ideal bucket admits the burst at once, then the rate, and refunded tokens.
func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBucket(10, 20, now)
	require.True(t, b.admit(20, now))
	require.False(t, b.admit(1, now))
	require.True(t, b.admit(10, now.Add(time.Second)))
	b.refund(5, now.Add(time.Second))
	require.True(t, b.admit(5, now.Add(time.Second)))
}

// An error in a workload names the file, the line and the setting.
func TestParseWorkloadLocatesErrors(t *testing.T) {
	_, err := ParseWorkload("w.yaml", []byte("entries: ['http://127.0.0.1:1']\nteams:\n- calls:\n  - {kind: chat}\n"))
	require.ErrorIs(t, err, ErrNoRequests)
	require.ErrorContains(t, err, "w.yaml:4: teams[0].calls[0].models")
	_, err = ParseWorkload("w.yaml", []byte("entries: ['http://localhost:1']\n"))
	require.ErrorIs(t, err, ErrInvalidSetting)
}

// The example files of the load tool and of the stand-ins parse without errors.
func TestExamplesAreValid(t *testing.T) {
	_, err := ReadWorkload("../../examples/workloads/flash-crowd.yaml")
	require.NoError(t, err)
	_, err = standin.ReadConfig("../../examples/standins.yaml")
	require.NoError(t, err)
}

// A team sends four times its rate. The system admits as many requests as the
// ideal bucket, but different ones: none counts as refused inside the rate. If
// the system admits one fewer, one request counts as refused inside the rate.
func TestReportCountsShortfallInsideRate(t *testing.T) {
	w := &Workload{Duration: time.Second, FirstToken: time.Second, Teams: []Team{{Name: "a"}}}
	results := make([]Result, 8)
	for i := range results {
		results[i] = Result{Outcome: Refused, InsideRate: i < 2}
	}
	results[6].Outcome, results[7].Outcome = Whole, Whole
	report := newReport(w, results, records{}, records{})
	require.Zero(t, report.RefusedInside)
	require.Equal(t, 6, report.RefusedOutside)
	require.Equal(t, 1.0, report.Attainment)
	results[7].Outcome = Refused
	report = newReport(w, results, records{}, records{})
	require.Equal(t, 1, report.RefusedInside)
	require.Equal(t, 0.5, report.Attainment)
}
