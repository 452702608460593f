package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// contextWindow is how long before and after a request events about its upstreams and its
// model are included in the report.
const contextWindow = 4 * time.Second

// Report is what the logs contain about one request.
type Report struct {
	Request string
	// RequestEvents are the events of the request itself, from all VMs, ordered by time.
	RequestEvents []Event
	// RelatedEvents are the events about the upstreams it was sent to and the model it used,
	// and those that affect all requests.
	RelatedEvents []Event
	// competingSends are the sends of other requests to the upstream that answered.
	competingSends []Event
	// Verdict states the input that decided how the request ended.
	Verdict string
}

// NewReport returns the report of a request from the events of all VMs. It returns
// ErrUnknownRequest, wrapped, if no event belongs to the request.
func NewReport(events []Event, request string) (*Report, error) {
	r := &Report{Request: request}
	for _, e := range events {
		if e.Request == request {
			r.RequestEvents = append(r.RequestEvents, e)
		}
	}
	if len(r.RequestEvents) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, request)
	}
	sortEvents(r.RequestEvents)
	r.addRelatedEvents(events)
	r.addCompetingSends(events)
	r.Verdict = verdict(r)
	return r, nil
}

func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		if c := a.sortRank() - b.sortRank(); c != 0 {
			return c
		}
		return a.index - b.index
	})
}

// sortRank sorts the end of a request after its other lines with the same time. Failures
// have a log buffer of their own and are written before the successes of the same moment, so
// a request that failed at once would appear to have ended before it was sent.
func (e Event) sortRank() int {
	if e.Name == "request_ended" || e.Name == "request_refused" {
		return 1
	}
	return 0
}

func (r *Report) addRelatedEvents(events []Event) {
	upstreams, models := make(map[string]bool), make(map[string]bool)
	for _, e := range r.RequestEvents {
		upstreams[e.Upstream] = e.Upstream != ""
		models[e.Model] = e.Model != ""
	}
	from, to := r.RequestEvents[0].Time.Add(-contextWindow), r.RequestEvents[len(r.RequestEvents)-1].Time.Add(contextWindow)
	for _, e := range events {
		if e.Request != "" || e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		about := upstreams[e.Instance] || models[e.Load] || models[e.Evict] || (e.Name == "order" && models[e.Model])
		if about || affectsAllRequests(e, r.RequestEvents[0].VM) {
			r.RelatedEvents = append(r.RelatedEvents, e)
		}
	}
	sortEvents(r.RelatedEvents)
}

// affectsAllRequests reports whether an event affects every request of the VM that served
// this one.
func affectsAllRequests(e Event, vm string) bool {
	switch e.Name {
	case "upstreams_unreachable", "upstreams_regained", "store_lost", "store_regained", "start", "stop", "draining", "configuration_in_force":
		return e.VM == vm
	case "leadership_lost", "leadership_lapsed", "leadership_regained", "leadership_won":
		return true
	}
	return false
}

// end returns the line that tells what the caller got: that of the VM that the request came to, if another VM logged an
// end too.
func (r *Report) end() Event {
	for _, e := range slices.Backward(r.RequestEvents) {
		if (e.Name == "request_ended" && !e.FromVM) || e.Name == "request_refused" {
			return e
		}
	}
	return r.RequestEvents[len(r.RequestEvents)-1]
}

// verdict states what decided how the request ended.
func verdict(r *Report) string {
	last := r.end()
	switch {
	case last.Name == "request_refused":
		return refusedVerdict(last)
	case last.Name != "request_ended":
		return "the log has no end of this request: the VM stopped, or the line was dropped (look for log_dropped)"
	}
	switch last.Outcome {
	case "answered":
		return answeredVerdict(r, last)
	case "refused":
		if last.Expected > 0 {
			return fmt.Sprintf("refused as not run, to come back after %.0f ms: it would have begun after %.0f ms, with an objective of %.0f", last.RetryAfter, last.Expected, last.Objective)
		}
		return fmt.Sprintf("refused as not run, to come back after %.0f ms: %s%s", last.RetryAfter, last.Cause, r.upstreamNote(last))
	case "cut":
		return fmt.Sprintf("broken off after event %q: %s%s", last.LastEvent, last.Cause, r.upstreamNote(last))
	case "unknown":
		return fmt.Sprintf("nobody can know whether it ran: %s%s", last.Cause, r.upstreamNote(last))
	case "upstream_failure":
		return fmt.Sprintf("upstream %s ran it and answered %d", last.Upstream, last.Status)
	case "caller_left":
		return fmt.Sprintf("the caller disconnected after %.0f ms", last.Duration)
	}
	return last.Outcome
}

func refusedVerdict(e Event) string {
	switch e.Reason {
	case "rate_limited":
		if e.RateLevel >= e.Units {
			return fmt.Sprintf("team %s was near its rate, and this VM had used its share: its pace stood at %.0f units (configuration %d)", e.Team, e.RatePace, e.Configuration)
		}
		return fmt.Sprintf("team %s had %.0f units left of its rate and needed %.0f (configuration %d)", e.Team, e.RateLevel, e.Units, e.Configuration)
	case "unknown_key":
		return fmt.Sprintf("no team held its key in configuration %d", e.Configuration)
	case "unknown_route":
		return "no route had its host and path"
	case "configuration_outdated":
		return fmt.Sprintf("configuration %d lacked its route or key, and a newer one was known to be in force elsewhere", e.Configuration)
	}
	return e.Reason
}

func (r *Report) lastSent() Event {
	for _, e := range slices.Backward(r.RequestEvents) {
		if e.Name == "request_sent" {
			return e
		}
	}
	return Event{}
}

// upstreamNote returns what the related events say about the upstream or the model, as a
// suffix of the verdict, or "".
func (r *Report) upstreamNote(last Event) string {
	for _, e := range r.RelatedEvents {
		if e.Instance != last.Upstream || last.Upstream == "" {
			continue
		}
		switch {
		case e.Name == "instance_gone":
			return fmt.Sprintf("; upstream %s disappeared from the store at %s", e.Instance, e.Time.Format(time.TimeOnly))
		case e.Name == "instance" && e.Draining:
			return fmt.Sprintf("; upstream %s was draining from %s", e.Instance, e.Time.Format(time.TimeOnly))
		}
	}
	if strings.Contains(last.Cause, "no engine holds") {
		return r.modelNote(last)
	}
	return ""
}

func (r *Report) modelNote(last Event) string {
	for _, e := range r.RelatedEvents {
		if e.Name == "model_move" && e.Load == last.Model {
			return fmt.Sprintf("; a move of %s to %s was decided at %s", e.Load, e.Instance, e.Time.Format(time.TimeOnly))
		}
	}
	return "; the log has no move of the model around that time"
}

// String formats the report: the verdict, then one line per event, with the events of the
// request itself marked by a star.
func (r *Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "request %s: %s\n\n", r.Request, r.Verdict)
	all := append(slices.Clone(r.RequestEvents), r.RelatedEvents...)
	sortEvents(all)
	for _, e := range all {
		mark := "  "
		if e.Request != "" {
			mark = "* "
		}
		fmt.Fprintf(&out, "%s%s %s %s\n", mark, e.Time.Format(time.TimeOnly), e.VM, e.describe())
	}
	return out.String()
}

func (e Event) describe() string {
	switch e.Name {
	case "request_sent":
		return fmt.Sprintf("sent (%d) to %s: %s, %d tokens to read, %.0f ms expected, held %.0f ms, %.0f ms left, upstreams known %.0f ms ago",
			e.SendNumber, e.Upstream, item(e), e.Uncached, e.Expected, e.Held, e.TimeLeft, e.UpstreamsAge)
	case "request_ended":
		return fmt.Sprintf("ended: %s %d, first event %.0f ms, took %.0f ms, %d sendings, %d may have run %s", e.Outcome, e.Status, e.TimeToFirst, e.Duration, e.Sends, e.PossibleRuns, e.Cause)
	case "request_refused":
		return fmt.Sprintf("refused: %s %d, retry after %.0f ms", e.Reason, e.Status, e.RetryAfter)
	case "model_move":
		return fmt.Sprintf("model %s moves to %s (%s), evicting %q", e.Load, e.Instance, e.Reason, e.Evict)
	case "order":
		return fmt.Sprintf("order to %s about %s: %s %s", e.Instance, item(e), e.Result, e.Cause)
	case "instance":
		return fmt.Sprintf("instance %s at %s, draining %v", e.Instance, e.Address, e.Draining)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s", e.Name, e.Instance, e.Cause))
}

func item(e Event) string {
	if e.Adapter == "" {
		return e.Model
	}
	return e.Model + "/" + e.Adapter
}
