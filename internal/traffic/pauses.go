package traffic

import "time"

// pauses measures the time between the events of a stream as they are passed to the caller.
type pauses struct {
	firstAt, lastAt time.Time
	// count is the number of events so far.
	count int
	// longest is the longest pause so far. It began at longestBegan, after the event
	// longestAfterID.
	longest        time.Duration
	longestAfterID string
	longestBegan   time.Time
	// lastID is the ID of the event at lastAt.
	lastID string
}

// noteEvent records that an event was passed to the caller.
func (p *pauses) noteEvent(now time.Time, id string) {
	if pause := now.Sub(p.lastAt); !p.lastAt.IsZero() && pause > p.longest {
		p.longest, p.longestAfterID, p.longestBegan = pause, p.lastID, p.lastAt
	}
	if p.count == 0 {
		p.firstAt = now
	}
	p.count++
	p.lastAt, p.lastID = now, id
}

// longestStart returns when the longest pause began, relative to from; 0 if there was none.
func (p *pauses) longestStart(from time.Time) time.Duration {
	if p.longestBegan.IsZero() {
		return 0
	}
	return p.longestBegan.Sub(from)
}

// The ways in which a response can be late, as written to logs.
const (
	lateStart = "start"
	latePause = "pause"
)

// lateness returns the way in which a response missed its route's objectives, "" if it met
// them or there was no response.
func (j *job) lateness() string {
	switch {
	case j.outcome != outcomeAnswered:
		return ""
	case j.route.Objective > 0 && j.timeToFirst > j.route.Objective:
		return lateStart
	case j.route.GapObjective > 0 && j.pauses.longest > j.route.GapObjective:
		return latePause
	}
	return ""
}
