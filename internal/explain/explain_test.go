package explain

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// readRecordedLog reads log lines of real runs, of all VMs in one file, with the prefixes of
// a log collector.
func readRecordedLog(t *testing.T) []Event {
	f, err := os.Open("testdata/recorded.log")
	require.NoError(t, err)
	defer f.Close()
	events, err := Read(f)
	require.NoError(t, err)
	return events
}

func TestVerdictsFromRecordedLogs(t *testing.T) {
	events := readRecordedLog(t)
	for request, verdict := range map[string]string{
		"fa416722eeae592d": "team huje404 was near its rate",
		"2ccccf52e54e1e56": `broken off after event "28"`,
		"66fd09735f16e19b": "late by 46 ms: held 0 ms here, then 446 ms at i-dba909fad2 where 241 were expected",
		"e420a1bf75da4d30": "nobody can know whether it ran",
		"b220a373805c724f": "no team held its key in configuration 27",
	} {
		report, err := NewReport(events, request)
		require.NoError(t, err)
		require.Contains(t, report.Verdict, verdict)
		require.Contains(t, report.String(), "* ")
	}
	_, err := NewReport(events, "nobody")
	require.ErrorIs(t, err, ErrUnknownRequest)
}

// An upstream fails a request within milliseconds. The failure is logged before the send, in
// the same second. Read in that order the log seems to lack the end of the request, and an
// operator would look for a VM that stopped.
func TestEndLoggedBeforeTheSendIsTheEnd(t *testing.T) {
	events, err := Read(strings.NewReader(
		`{"event":"request_ended","request":"r","vm":"a","outcome":"upstream_failure","status":500,"upstream":"i-1","time":"2026-02-05T12:30:53Z"}` + "\n" +
			`{"event":"request_sent","request":"r","vm":"a","send":1,"upstream":"i-1","time":"2026-02-05T12:30:53Z"}` + "\n"))
	require.NoError(t, err)
	report, err := NewReport(events, "r")
	require.NoError(t, err)
	require.Equal(t, "upstream i-1 ran it and answered 500", report.Verdict)
}

func TestLinesThatAreNotEventsAreSkipped(t *testing.T) {
	events, err := Read(strings.NewReader("plain text\n{broken\n{\"event\":\"start\",\"vm\":\"a\"}\n\n"))
	require.NoError(t, err)
	require.Len(t, events, 1)
}

// An engine processes ten prompts that arrive at once between two events of a stream, and its
// caller waits 210 ms although the objective is 150 ms. The response has lost most of its
// value by then; the verdict must say that it was late, and what was sent to the engine
// meanwhile.
func TestStreamWithALongPauseIsNotInTime(t *testing.T) {
	lines := `{"event":"request_sent","request":"r","vm":"a","send":1,"upstream":"i-1","late":false,"beside":41,"beside_others":30,"prefill_ahead":2300,"report_age_ms":240,"time":"2026-02-05T12:30:53.000Z"}
{"event":"request_sent","request":"early","vm":"b","send":1,"upstream":"i-1","uncached":500,"time":"2026-02-05T12:30:52.900Z"}
{"event":"request_sent","request":"other","vm":"b","send":1,"upstream":"i-1","uncached":4000,"time":"2026-02-05T12:30:53.400Z"}
{"event":"request_sent","request":"own","vm":"a","send":1,"upstream":"i-1","uncached":1500,"time":"2026-02-05T12:30:53.450Z"}
{"event":"request_sent","request":"elsewhere","vm":"b","send":1,"upstream":"i-2","uncached":9000,"time":"2026-02-05T12:30:53.450Z"}
{"event":"request_ended","request":"r","vm":"a","outcome":"answered","status":200,"upstream":"i-1","first_ms":40,"objective_ms":500,"late":"pause","longest_pause_ms":210,"pause_at_ms":420,"pause_after":"4","pause_objective_ms":150,"took_ms":1500,"time":"2026-02-05T12:30:54.500Z"}
`
	events, err := Read(strings.NewReader(lines))
	require.NoError(t, err)
	report, err := NewReport(events, "r")
	require.NoError(t, err)
	require.Contains(t, report.Verdict, `late by a pause of 210 ms behind event "4", objective 150 ms`)
	require.Contains(t, report.Verdict, "i-1 had 41 requests in flight (30 of other VMs, heard up to 240 ms before; 1 sent by them since) and 2300 prompt tokens to read")
	require.Contains(t, report.Verdict, "2 requests with 5500 prompt tokens came there")
}

// Guards against the end at the VM that a request was handed to being taken for what the caller got.
func TestVerdictIsThatOfTheVMThatTheRequestCameTo(t *testing.T) {
	events, err := Read(strings.NewReader(`{"event":"upstreams_unreachable","vm":"a","service":"s","time":"2026-02-05T12:30:52.900Z"}
{"event":"request_ended","request":"r","vm":"a","outcome":"unknown","status":502,"cause":"the hop broke","time":"2026-02-05T12:30:53.100Z"}
{"event":"request_ended","request":"r","vm":"b","from_vm":true,"outcome":"answered","status":200,"time":"2026-02-05T12:30:53.200Z"}
`))
	require.NoError(t, err)
	report, err := NewReport(events, "r")
	require.NoError(t, err)
	require.Contains(t, report.String(), "the hop broke")
	require.Contains(t, report.String(), "upstreams_unreachable")
}
