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

// addCompetingSends collects the sends of other requests to the upstream that answered.
func (r *Report) addCompetingSends(events []Event) {
	upstream := r.RequestEvents[len(r.RequestEvents)-1].Upstream
	if upstream == "" {
		return
	}
	for _, e := range events {
		if e.Name == "request_sent" && e.Upstream == upstream && e.Request != r.Request {
			r.competingSends = append(r.competingSends, e)
		}
	}
}

// answeredVerdict states whether a response met its objectives, and if not, where the time
// was spent.
func answeredVerdict(r *Report, last Event) string {
	switch {
	case last.Lateness == latePause:
		return r.pauseVerdict(last)
	case last.Lateness == lateStart || (last.Objective > 0 && last.TimeToFirst > last.Objective):
		return r.startVerdict(last)
	case last.PauseObjective > 0:
		return fmt.Sprintf("answered in time: first event after %.0f of %.0f ms, longest pause %.0f of %.0f ms",
			last.TimeToFirst, last.Objective, last.LongestPause, last.PauseObjective)
	}
	return fmt.Sprintf("answered in time: first event after %.0f of %.0f ms", last.TimeToFirst, last.Objective)
}

func (r *Report) startVerdict(last Event) string {
	sent := r.lastSent()
	return fmt.Sprintf("late by %.0f ms: held %.0f ms here, then %.0f ms at %s where %.0f were expected for %d unread prompt tokens; %d sendings%s",
		last.TimeToFirst-last.Objective, sent.Held, last.TimeToFirst-sent.Held, last.Upstream, sent.Expected, sent.Uncached, last.Sends, r.upstreamNote(last))
}

// pauseVerdict states the other work of the engine around the pause of a stream: prompts of
// other requests to process, and requests in flight whose tokens it generated.
func (r *Report) pauseVerdict(last Event) string {
	sent := r.lastSent()
	arrived := last.Time.Add(-milliseconds(last.Duration))
	from := arrived.Add(milliseconds(last.PauseAt))
	requests, tokens := r.countSends("", from.Add(-pauseLookback), from.Add(milliseconds(last.LongestPause)))
	unreported, _ := r.countSends(sent.VM, sent.Time.Add(-milliseconds(sent.ReportAge)), sent.Time)
	return fmt.Sprintf("late by a pause of %.0f ms behind event %q, objective %.0f ms: when it was chosen, %s had %d requests in flight "+
		"(%d of other VMs, heard up to %.0f ms before; %d sent by them since) and %d prompt tokens to read; "+
		"around the pause %d requests with %d prompt tokens came there%s",
		last.LongestPause, last.PauseAfter, last.PauseObjective, last.Upstream, sent.InFlight,
		sent.InFlightOthers, sent.ReportAge, unreported, sent.PrefillTokens, requests, tokens, r.upstreamNote(last))
}

// pauseLookback is how long before a pause a prompt may have been sent that the engine
// processes during the pause.
const pauseLookback = 150 * time.Millisecond

// countSends counts the sends of other requests to the upstream in a period, and their
// uncached prompt tokens. Sends of excludedVM are not counted; "" excludes none.
func (r *Report) countSends(excludedVM string, from, to time.Time) (requests, tokens int) {
	for _, e := range r.competingSends {
		if (excludedVM == "" || e.VM != excludedVM) && !e.Time.Before(from) && !e.Time.After(to) {
			requests++
			tokens += e.Uncached
		}
	}
	return requests, tokens
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
