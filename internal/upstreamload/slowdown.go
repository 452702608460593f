package upstreamload

import (
	"math"
	"time"
)

const (
	// MinSlowdown and MaxSlowdown bound the slowdowns that count.
	MinSlowdown = 0.25
	MaxSlowdown = 16.0
	// usualTimeConstant is the time in which an upstream's usual slowdown follows its reports.
	usualTimeConstant = 30 * time.Second
	// maxUsualWeight bounds the time for which one report counts in the usual slowdown.
	maxUsualWeight = time.Second
)

var (
	// minDeviation is the least deviation that counts, as a logarithm: upstreams that differ by less are alike.
	minDeviation = math.Log(1.1)
	// decisiveDeviation is the least difference between a report and what was expected that may change a choice.
	decisiveDeviation = math.Log(1.25)
)

// Slowdown is what the reports of one upstream say about how long work takes there. The zero value holds no report.
type Slowdown struct {
	// reported and usual are logarithms.
	reported, usual float64
	at              time.Time
}

// Record records a report of a time and returns whether it may change a choice. Reports that are not newer than the last one
// change nothing.
func (s *Slowdown) Record(p *Persistence, slowdown float64, at time.Time) (decisive bool) {
	if !(slowdown > 0) || !at.After(s.at) {
		return false
	}
	reported := math.Log(min(max(slowdown, MinSlowdown), MaxSlowdown))
	expected := s.expected(p, at)
	if !s.at.IsZero() {
		age := at.Sub(s.at)
		p.learn(s.reported-s.usual, reported-s.usual, age)
		s.usual += (reported - s.usual) * (1 - math.Exp(-min(age, maxUsualWeight).Seconds()/usualTimeConstant.Seconds()))
	}
	s.reported, s.at = reported, at
	return math.Abs(reported-expected) >= decisiveDeviation
}

// Expected returns how long work is expected to take now: 1 as usual for upstreams of the service, 2 twice as long.
func (s *Slowdown) Expected(p *Persistence, now time.Time) float64 {
	if expected := s.expected(p, now); math.Abs(expected) >= minDeviation {
		return math.Exp(expected)
	}
	return 1
}

func (s *Slowdown) expected(p *Persistence, now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.usual + (s.reported-s.usual)*p.remaining(now.Sub(s.at))
}

// At returns when the last report was made, zero if there is none.
func (s *Slowdown) At() time.Time { return s.at }

// Last returns the last report, 1 if there is none.
func (s *Slowdown) Last() float64 { return math.Exp(s.reported) }
