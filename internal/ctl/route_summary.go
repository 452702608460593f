package ctl

import (
	"fmt"
	"io"

	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// writeRouteSummary writes what would happen to the request, ahead of the table of upstreams.
func writeRouteSummary(w io.Writer, e *operator.RouteExplanation) {
	team := e.Team
	if team == "" {
		team = "none"
	}
	fmt.Fprintf(w, "route %s, team %s, urgency %d, due in %s, deadline %s\n", e.Route, team, e.Urgency, durationText(e.DueMs), durationText(e.DeadlineMs))
	fmt.Fprintf(w, "VM %s, configuration %d, upstreams as of %s ago\n", e.VM, e.Configuration, durationText(e.UpstreamsAgeMs))
	writeRate(w, e.Rate)
	for _, s := range e.Services {
		fmt.Fprintf(w, "service %s (share %.2f): %s\n", s.Service, s.Share, actionText(&s))
		fmt.Fprintf(w, "  expected cost %s; %d of %d slots in flight at %d available upstreams\n",
			durationText(s.ExpectedCostMs), s.Room.InFlight, s.Room.Slots, s.Room.Upstreams)
		if s.AdmittedFraction < 1 {
			fmt.Fprintf(w, "  short of room: %.2f of such requests are admitted\n", s.AdmittedFraction)
		}
	}
	fmt.Fprintln(w)
}

func writeRate(w io.Writer, r operator.RateForecast) {
	if !r.Limited {
		fmt.Fprintln(w, "rate: not limited")
		return
	}
	fmt.Fprintf(w, "rate: takes %.0f of %.0f units left (at most %.0f), admitted with probability %.2f\n", r.Units, r.Level, r.Capacity, r.AdmitProbability)
}

// actionText says in words what would happen at a service.
func actionText(s *operator.ServiceRoute) string {
	switch s.Action {
	case "send":
		return "sent to " + chosenText(s)
	case "forward_to_other_vm":
		return "offered to another VM, since this one reaches no upstream of the service"
	case "ask_leader_for_adapter":
		return fmt.Sprintf("the leader is asked for the adapter; held for at most %s, then %s", durationText(s.HoldMs), rejectionText(s.Rejection))
	case "hold":
		return fmt.Sprintf("held for at most %s, then %s", durationText(s.HoldMs), rejectionText(s.Rejection))
	}
	return rejectionText(s.Rejection)
}

func chosenText(s *operator.ServiceRoute) string {
	text := fmt.Sprintf("%s, expected start %s (%s)", s.Upstream, durationText(s.ExpectedStartMs), s.Rule)
	if s.NeedsPermit {
		text += ", once it has a permit"
	}
	return text
}

func rejectionText(r *operator.RouteRejection) string {
	if r == nil {
		return "rejected"
	}
	text := fmt.Sprintf("rejected with %d %s", r.Status, r.Reason)
	if r.RetryAfterMs > 0 {
		text += ", retry after " + durationText(r.RetryAfterMs)
	}
	return text
}
