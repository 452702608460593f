package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/relay"
)

// The latency objectives that a promotion of a configuration is evaluated against: the
// time from the request's arrival to the first token, and the mean time between tokens.
// Each event of a completion except the final one counts as a token.
const (
	firstTokenObjective = 760 * time.Millisecond
	interTokenObjective = 52 * time.Millisecond
)

// latencySink forwards a completion's events to a sink and records when they arrived.
type latencySink struct {
	relay.Sink
	start, first, last time.Time
	events             int
}

// Event records and forwards one event.
func (s *latencySink) Event(e engine.Event) error {
	s.record(time.Now(), e.Done)
	return s.Sink.Event(e)
}

// record records the time of an event and counts it. The final event, "[DONE]", is
// ignored, since it carries no token.
func (s *latencySink) record(now time.Time, done bool) {
	if done {
		return
	}
	if s.events == 0 {
		s.first = now
	}
	s.last = now
	s.events++
}

// meetsObjectives reports whether the events recorded so far meet both objectives.
func (s *latencySink) meetsObjectives() bool {
	if s.events == 0 || s.first.Sub(s.start) > firstTokenObjective {
		return false
	}
	if s.events == 1 {
		return true
	}
	return s.last.Sub(s.first)/time.Duration(s.events-1) <= interTokenObjective
}

// reportCompletion reports a completion that the rate limiter has admitted, as evidence
// for a promotion: whether it met the objectives, and whether it failed. It skips one that
// failed after its caller disconnected, since that says nothing about the system.
func (h *Handler) reportCompletion(r *http.Request, latency *latencySink, problem *Problem) {
	if problem != nil && r.Context().Err() == context.Canceled {
		return
	}
	h.RecordCompletion(problem == nil && latency.meetsObjectives(), problem != nil)
}
