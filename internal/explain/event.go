package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("explain: no line names the request")

// Event is one line of a log.
type Event struct {
	// Time is the VM's wall clock; lines of one VM keep their order.
	Time time.Time `json:"time"`
	VM   string    `json:"vm"`
	Name string    `json:"event"`

	Request  string `json:"request"`
	Route    string `json:"route"`
	Team     string `json:"team"`
	Upstream string `json:"upstream"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	// Instance and Load stand in lines about engines and orders.
	Instance string `json:"instance"`
	Load     string `json:"load"`
	Evict    string `json:"evict"`
	Address  string `json:"address"`

	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Cause   string `json:"cause"`
	Result  string `json:"result"`
	Status  int    `json:"status"`
	Sends   int    `json:"sends"`
	Ran     int    `json:"ran"`
	Send    int    `json:"send"`

	Draining bool `json:"draining"`
	// Lateness is the way in which an answer was late: "start", "pause" or "". The line of a
	// sending has a true or false under the same name, which is not read.
	Lateness lateness `json:"late"`

	// Beside is the work known of at the upstream when it was chosen, in requests, and
	// BesideOthers the part that other VMs had reported. PrefillAhead is in prompt tokens.
	Beside       int `json:"beside"`
	BesideOthers int `json:"beside_others"`
	PrefillAhead int `json:"prefill_ahead"`

	Units         float64 `json:"units"`
	RateLevel     float64 `json:"rate_level"`
	RatePace      float64 `json:"rate_pace"`
	Prompt        int     `json:"prompt"`
	Uncached      int     `json:"uncached"`
	Configuration int64   `json:"configuration"`
	Version       int64   `json:"version"`

	// Times are in milliseconds.
	RetryAfter   float64 `json:"retry_after_ms"`
	Expected     float64 `json:"expected_ms"`
	Held         float64 `json:"held_ms"`
	Left         float64 `json:"left_ms"`
	First        float64 `json:"first_ms"`
	Objective    float64 `json:"objective_ms"`
	Took         float64 `json:"took_ms"`
	UpstreamsAge float64 `json:"upstreams_age_ms"`
	ReportAge    float64 `json:"report_age_ms"`
	// LongestPause began PauseAt after the request came, behind the event PauseAfter.
	LongestPause   float64 `json:"longest_pause_ms"`
	PauseAt        float64 `json:"pause_at_ms"`
	PauseObjective float64 `json:"pause_objective_ms"`
	PauseAfter     string  `json:"pause_after"`

	LastEvent string `json:"last_event"`
	// Line is the whole line.
	Line string `json:"-"`
	// order is the line's place in what was read.
	order int
}

// lateness is a text; a value of another type is read as "".
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

// Read reads the events of a log. What stands before the first brace of a line, such as
// a collector's own stamp, and lines that are no events are passed over.
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
		e := Event{Line: string(line), order: len(out)}
		if json.Unmarshal(line[at:], &e) != nil || e.Name == "" {
			continue
		}
		out = append(out, e)
	}
	return out, errors.Wrap(scanner.Err(), "explain: read")
}
