package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/engine"
	"github.com/chestnutarch/chestnutarch/internal/relay"
)

// The latency objectives that a promotion is judged by: the time to the first
// token, and the mean time between tokens.
const (
	firstTokenObjective    = 760 * time.Millisecond
	betweenTokensObjective = 52 * time.Millisecond
)

// pace passes a completion's events on and notes when they came.
type pace struct {
	relay.Sink
	start, first, last time.Time
	events             int
}

// Event passes one event on.
func (p *pace) Event(e engine.Event) error {
	p.note(time.Now(), e.Done)
	return p.Sink.Event(e)
}

// note takes the time of an event that carries a token. The end carries none.
func (p *pace) note(now time.Time, done bool) {
	if done {
		return
	}
	if p.events == 0 {
		p.first = now
	}
	p.last = now
	p.events++
}

// attained reports whether the events so far kept to the objectives.
func (p *pace) attained() bool {
	if p.events == 0 || p.first.Sub(p.start) > firstTokenObjective {
		return false
	}
	if p.events == 1 {
		return true
	}
	return p.last.Sub(p.first)/time.Duration(p.events-1) <= betweenTokensObjective
}

// tally counts an admitted completion for the evidence of a promotion. One whose
// caller went away says nothing about the system and is left out.
func (h *Handler) tally(r *http.Request, p *pace, problem *Problem) {
	if problem != nil && r.Context().Err() == context.Canceled {
		return
	}
	h.Judged(problem == nil && p.attained(), problem != nil)
}
