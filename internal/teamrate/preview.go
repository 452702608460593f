package teamrate

import "time"

// Forecast is what Admit would say about a request.
type Forecast struct {
	// Limited means that the team has a rate.
	Limited bool
	// Level is what is left of the team's bucket, Capacity what it holds at most, in units.
	Level, Capacity float64
	// Probability is the probability with which the request is admitted: between 0 and 1 only while the bucket is low.
	Probability float64
	// RetryAfter is the retry delay if the request is not admitted, zero if it certainly is, or never.
	RetryAfter time.Duration
}

// Preview returns what Admit would say, and takes nothing from the bucket. Which VMs are silent is as of the last request or
// report.
func (l *Limiter) Preview(team string, units float64, now time.Time) Forecast {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.teams[team]
	if known == nil || known.limit.Rate <= 0 {
		return Forecast{Probability: 1}
	}
	b := *known
	l.refillWith(&b, now, func(*peer, float64) {})
	b.demand.add(units, 0, now)
	out := Forecast{Limited: true, Level: b.level, Capacity: l.capacity(b.limit), Probability: 1}
	need := min(units, out.Capacity)
	switch {
	case units > l.largest(b.limit):
		out.Probability = 0
	case b.level < need:
		out.Probability, out.RetryAfter = 0, l.waitForLevel(&b, need)
	case l.isLow(&b):
		out.Probability, out.RetryAfter = min(1, l.admitProbability(&b, units, now)), l.waitForLocal(&b, units)
	}
	return out
}
