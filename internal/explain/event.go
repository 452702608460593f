package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownRequest means that no log line contains the request's ID.
var ErrUnknownRequest = errors.New("explain: no log line names the request")

// Event is one log line.
type Event struct {
	// Time is the VM's wall-clock time; lines of one VM with the same time keep their order.
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	Name string    `json:"event"`

	Request  string `json:"request"`
	Route    string `json:"route"`
	Team     string `json:"team"`
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	// Instance, Load, Evict and Address occur in lines about instances, moves and orders.
	Instance string `json:"instance"`
	Load     string `json:"load"`
	Evict    string `json:"evict"`
	Address  string `json:"address"`

	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// FromVM means that another VM has handed the request over.
	FromVM       bool   `json:"from_vm"`
	Cause        string `json:"cause"`
	Result       string `json:"result"`
	Status       int    `json:"status"`
	Sends        int    `json:"sends"`
	PossibleRuns int    `json:"ran"`
	SendNumber   int    `json:"send"`

	Draining bool `json:"draining"`
	// Lateness is the way in which a response was late: "start", "pause" or "". The
	// request_sent event has a boolean under the same key, which is ignored.
	Lateness lateness `json:"late"`

	// InFlight is the number of requests known to be in flight at the upstream when it was
	// chosen, InFlightOthers the part of them reported by other VMs. PrefillTokens is the
	// number of prompt tokens that waited for prefill there.
	InFlight       int `json:"beside"`
	InFlightOthers int `json:"beside_others"`
	PrefillTokens  int `json:"prefill_ahead"`

	Units         float64 `json:"units"`
	RateLevel     float64 `json:"rate_level"`
	RatePace      float64 `json:"rate_pace"`
	Prompt        int     `json:"prompt"`
	Uncached      int     `json:"uncached"`
	Configuration int64   `json:"configuration"`
	Version       int64   `json:"version"`

	// Durations are in milliseconds.
	RetryAfter   float64 `json:"retry_after_ms"`
	Expected     float64 `json:"expected_ms"`
	Held         float64 `json:"held_ms"`
	TimeLeft     float64 `json:"left_ms"`
	TimeToFirst  float64 `json:"first_ms"`
	Objective    float64 `json:"objective_ms"`
	Duration     float64 `json:"took_ms"`
	UpstreamsAge float64 `json:"upstreams_age_ms"`
	ReportAge    float64 `json:"report_age_ms"`
	// LongestPause began PauseAt after the request arrived, after the event PauseAfter.
	LongestPause   float64 `json:"longest_pause_ms"`
	PauseAt        float64 `json:"pause_at_ms"`
	PauseObjective float64 `json:"pause_objective_ms"`
	PauseAfter     string  `json:"pause_after"`

	LastEvent string `json:"last_event"`
	// Line is the complete line as read.
	Line string `json:"-"`
	// index is the position of the event in what Read returned.
	index int
}

// lateness is a string; a JSON value of another type is decoded as "".
type lateness string

// UnmarshalJSON implements json.Unmarshaler.
func (l *lateness) UnmarshalJSON(value []byte) error {
	if len(value) > 0 && value[0] == '"' {
		return errors.WithStack(json.Unmarshal(value, (*string)(l)))
	}
	return nil
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Read reads the events of a log. It skips lines that are not events, and what precedes the
// first brace of a line, such as the prefix of a log collector.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 {
			continue
		}
		e := Event{Line: string(line), index: len(out)}
		if json.Unmarshal(line[at:], &e) != nil || e.Name == "" {
			continue
		}
		out = append(out, e)
	}
	return out, errors.Wrap(scanner.Err(), "explain: read log")
}
