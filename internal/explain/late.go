package explain

import (
	"fmt"
	"time"
)

// The values of Event.Lateness.
const (
	lateStart = "start"
	latePause = "pause"
)

// addRivals collects what was sent to the upstream that answered.
func (s *Story) addRivals(events []Event) {
	upstream := s.Own[len(s.Own)-1].Upstream
	if upstream == "" {
		return
	}
	for _, e := range events {
		if e.Name == "request_sent" && e.Upstream == upstream && e.Request != s.Request {
			s.rivals = append(s.rivals, e)
		}
	}
}

// answeredVerdict says whether an answer kept its objectives, and if not, where the time
// went.
func answeredVerdict(s *Story, last Event) string {
	switch {
	case last.Lateness == latePause:
		return s.pauseVerdict(last)
	case last.Lateness == lateStart || (last.Objective > 0 && last.First > last.Objective):
		return s.startVerdict(last)
	case last.PauseObjective > 0:
		return fmt.Sprintf("answered in time: first event after %.0f of %.0f ms, longest pause %.0f of %.0f ms",
			last.First, last.Objective, last.LongestPause, last.PauseObjective)
	}
	return fmt.Sprintf("answered in time: first event after %.0f of %.0f ms", last.First, last.Objective)
}

func (s *Story) startVerdict(last Event) string {
	sent := s.lastSent()
	return fmt.Sprintf("late by %.0f ms: held %.0f ms here, then %.0f ms at %s where %.0f were expected for %d unread prompt tokens; %d sendings%s",
		last.First-last.Objective, sent.Held, last.First-sent.Held, last.Upstream, sent.Expected, sent.Uncached, last.Sends, s.about(last))
}

// pauseVerdict names what the engine did beside the stream when it paused: reading the
// prompts of others, or making their tokens.
func (s *Story) pauseVerdict(last Event) string {
	sent := s.lastSent()
	came := last.Time.Add(-milliseconds(last.Took))
	from := came.Add(milliseconds(last.PauseAt))
	requests, tokens := s.sentWithin("", from.Add(-pauseLead), from.Add(milliseconds(last.LongestPause)))
	unseen, _ := s.sentWithin(sent.VM, sent.Time.Add(-milliseconds(sent.ReportAge)), sent.Time)
	return fmt.Sprintf("late by a pause of %.0f ms behind event %q, objective %.0f ms: when it was chosen, %s had %d requests in flight "+
		"(%d of other VMs, heard up to %.0f ms before; %d sent by them since) and %d prompt tokens to read; "+
		"around the pause %d requests with %d prompt tokens came there%s",
		last.LongestPause, last.PauseAfter, last.PauseObjective, last.Upstream, sent.Beside,
		sent.BesideOthers, sent.ReportAge, unseen, sent.PrefillAhead, requests, tokens, s.about(last))
}

// pauseLead is how long before a pause prompts came that may be read in it.
const pauseLead = 150 * time.Millisecond

// sentWithin counts what was sent to the upstream by VMs other than one, "" for all of them,
// with the prompt tokens to be read.
func (s *Story) sentWithin(except string, from, to time.Time) (requests, tokens int) {
	for _, e := range s.rivals {
		if (except == "" || e.VM != except) && !e.Time.Before(from) && !e.Time.After(to) {
			requests++
			tokens += e.Uncached
		}
	}
	return requests, tokens
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
