package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// around is how long before and after a request lines about its upstreams and its model
// belong to the story.
const around = 4 * time.Second

// Story is what the logs tell of one request.
type Story struct {
	Request string
	// Own are the lines of the request itself, of all VMs, in the order of their time.
	Own []Event
	// Context are lines about the upstreams it was sent to and the model it asked for.
	Context []Event
	// rivals are the sendings of other requests to the upstream that answered.
	rivals []Event
	// Verdict names the input that decided how it ended.
	Verdict string
}

// Tell finds a request in the events of all VMs. It returns ErrUnknownRequest, wrapped.
func Tell(events []Event, request string) (*Story, error) {
	s := &Story{Request: request}
	for _, e := range events {
		if e.Request == request {
			s.Own = append(s.Own, e)
		}
	}
	if len(s.Own) == 0 {
		return nil, errors.Wrap(ErrUnknownRequest, request)
	}
	sortEvents(s.Own)
	s.addContext(events)
	s.addRivals(events)
	s.Verdict = verdict(s)
	return s, nil
}

func sortEvents(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		if c := a.rank() - b.rank(); c != 0 {
			return c
		}
		return a.order - b.order
	})
}

// rank puts the end of a request behind its other lines of the same second. Failures have
// room of their own in the log and are written before the successes of the same moment, so
// that a request which failed at once seems to have ended before it was sent.
func (e Event) rank() int {
	if e.Name == "request_ended" || e.Name == "request_refused" {
		return 1
	}
	return 0
}

func (s *Story) addContext(events []Event) {
	upstreams, models := make(map[string]bool), make(map[string]bool)
	for _, e := range s.Own {
		upstreams[e.Upstream] = e.Upstream != ""
		models[e.Model] = e.Model != ""
	}
	from, to := s.Own[0].Time.Add(-around), s.Own[len(s.Own)-1].Time.Add(around)
	for _, e := range events {
		if e.Request != "" || e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		about := upstreams[e.Instance] || models[e.Load] || models[e.Evict] || (e.Name == "order" && models[e.Model])
		if about || contextual(e, s.Own[0].VM) {
			s.Context = append(s.Context, e)
		}
	}
	sortEvents(s.Context)
}

// contextual are the events that touch every request of the VM that took it.
func contextual(e Event, vm string) bool {
	switch e.Name {
	case "store_lost", "store_regained", "start", "stop", "draining", "configuration_in_force":
		return e.VM == vm
	case "leadership_lost", "leadership_lapsed", "leadership_regained", "leadership_won":
		return true
	}
	return false
}

// verdict names what decided the end.
func verdict(s *Story) string {
	last := s.Own[len(s.Own)-1]
	switch {
	case last.Name == "request_refused":
		return refusedVerdict(last)
	case last.Name != "request_ended":
		return "the log has no end of it: the VM stopped, or the line was dropped (look for log_dropped)"
	}
	switch last.Outcome {
	case "answered":
		return answeredVerdict(s, last)
	case "refused":
		if last.Expected > 0 {
			return fmt.Sprintf("refused as not run, to come back after %.0f ms: it would have begun after %.0f ms, with an objective of %.0f", last.RetryAfter, last.Expected, last.Objective)
		}
		return fmt.Sprintf("refused as not run, to come back after %.0f ms: %s%s", last.RetryAfter, last.Cause, s.about(last))
	case "cut":
		return fmt.Sprintf("broken off after event %q: %s%s", last.LastEvent, last.Cause, s.about(last))
	case "unknown":
		return fmt.Sprintf("nobody can know whether it ran: %s%s", last.Cause, s.about(last))
	case "upstream_failure":
		return fmt.Sprintf("upstream %s ran it and answered %d", last.Upstream, last.Status)
	case "caller_left":
		return fmt.Sprintf("the caller left after %.0f ms", last.Took)
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
		return fmt.Sprintf("configuration %d lacked its route or key, and this VM knew that a newer one was in force elsewhere", e.Configuration)
	}
	return e.Reason
}

func (s *Story) lastSent() Event {
	for _, e := range slices.Backward(s.Own) {
		if e.Name == "request_sent" {
			return e
		}
	}
	return Event{}
}

// about adds what is known of the upstream or the model at that time.
func (s *Story) about(last Event) string {
	for _, e := range s.Context {
		if e.Instance != last.Upstream || last.Upstream == "" {
			continue
		}
		switch {
		case e.Name == "instance_gone":
			return fmt.Sprintf("; upstream %s was gone from the store at %s", e.Instance, e.Time.Format(time.TimeOnly))
		case e.Name == "instance" && e.Draining:
			return fmt.Sprintf("; upstream %s was leaving from %s", e.Instance, e.Time.Format(time.TimeOnly))
		}
	}
	if strings.Contains(last.Cause, "no engine holds") {
		return s.aboutModel(last)
	}
	return ""
}

func (s *Story) aboutModel(last Event) string {
	for _, e := range s.Context {
		if e.Name == "model_move" && e.Load == last.Model {
			return fmt.Sprintf("; %s was on its way to %s from %s", e.Load, e.Instance, e.Time.Format(time.TimeOnly))
		}
	}
	return "; no move of it is in the log around that time"
}

// String tells the story in lines.
func (s *Story) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "request %s: %s\n\n", s.Request, s.Verdict)
	all := append(slices.Clone(s.Own), s.Context...)
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
			e.Send, e.Upstream, item(e), e.Uncached, e.Expected, e.Held, e.Left, e.UpstreamsAge)
	case "request_ended":
		return fmt.Sprintf("ended: %s %d, first event %.0f ms, took %.0f ms, %d sendings, %d may have run %s", e.Outcome, e.Status, e.First, e.Took, e.Sends, e.Ran, e.Cause)
	case "request_refused":
		return fmt.Sprintf("refused: %s %d, retry after %.0f ms", e.Reason, e.Status, e.RetryAfter)
	case "model_move":
		return fmt.Sprintf("model %s goes to %s (%s), %q makes way", e.Load, e.Instance, e.Reason, e.Evict)
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
