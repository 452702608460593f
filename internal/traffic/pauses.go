package traffic

import "time"

// pauses measures the time between the events of a stream as they go to the caller.
type pauses struct {
	first, last time.Time
	// count is the number of events.
	count int
	// longest is the longest pause so far, after the event named, begun at began.
	longest time.Duration
	after   string
	began   time.Time
	// lastID is the event at last.
	lastID string
}

// event notes that an event was passed on.
func (p *pauses) event(now time.Time, id string) {
	if pause := now.Sub(p.last); !p.last.IsZero() && pause > p.longest {
		p.longest, p.after, p.began = pause, p.lastID, p.last
	}
	if p.count == 0 {
		p.first = now
	}
	p.count++
	p.last, p.lastID = now, id
}

// at is when the longest pause began, counted from a time; 0 if there was none.
func (p *pauses) at(from time.Time) time.Duration {
	if p.began.IsZero() {
		return 0
	}
	return p.began.Sub(from)
}

// The ways in which an answer can be late, as they stand in logs.
const (
	lateStart = "start"
	latePause = "pause"
)

// lateness says in what way an answer missed its route's objectives, "" if it kept them.
func (j *job) lateness() string {
	switch {
	case j.outcome != outcomeAnswered:
		return ""
	case j.route.Objective > 0 && j.first > j.route.Objective:
		return lateStart
	case j.route.GapObjective > 0 && j.pauses.longest > j.route.GapObjective:
		return latePause
	}
	return ""
}
