package upstreamload

import (
	"math"
	"slices"
	"time"
)

const (
	// lastingTimeConstant is how long observations of an upstream's own speed count.
	lastingTimeConstant = 30 * time.Second
	// minObservations is the number of observations from which an upstream's speed counts.
	minObservations = 12
	// minCompared is the number of upstreams of a service from which their speeds are compared.
	minCompared = 4
	// logScale is the unit of logarithms in Evidence.
	logScale = 1000.0
)

var (
	// maxObserved bounds one observation, as a logarithm: a stream that stalled says little of its upstream's speed.
	maxObserved = math.Log(4)
	// minLasting is the least difference from the other upstreams that counts, as a logarithm.
	minLasting = math.Log(1.3)
)

// Evidence is what VMs have observed of an upstream's speed since their start: a number of observations, and the sum of the
// logarithms of observed by expected time, in thousandths.
type Evidence struct {
	Count, LogSum int64
}

// Observation returns the evidence of one piece of work that took a multiple of the expected time.
func Observation(ratio float64) Evidence {
	if !(ratio > 0) {
		return Evidence{}
	}
	return Evidence{Count: 1, LogSum: int64(math.Round(logScale * min(max(math.Log(ratio), -maxObserved), maxObserved)))}
}

// Add returns the sum of two evidences.
func (e Evidence) Add(other Evidence) Evidence {
	return Evidence{Count: e.Count + other.Count, LogSum: e.LogSum + other.LogSum}
}

// Sub returns the difference of two evidences.
func (e Evidence) Sub(other Evidence) Evidence {
	return Evidence{Count: e.Count - other.Count, LogSum: e.LogSum - other.LogSum}
}

// IsZero reports whether there is no evidence.
func (e Evidence) IsZero() bool { return e == Evidence{} }

// Lasting is the speed of an upstream that lasts, by recent evidence of all VMs. The zero value has none.
type Lasting struct {
	weight, sum float64
	at          time.Time
}

// Add adds evidence. Evidence that cannot be a sum of observations is ignored.
func (l *Lasting) Add(e Evidence, now time.Time) {
	if e.Count <= 0 || math.Abs(float64(e.LogSum)) > float64(e.Count)*logScale*(maxObserved+0.01) {
		return
	}
	if !l.at.IsZero() {
		left := math.Exp(-max(0, now.Sub(l.at)).Seconds() / lastingTimeConstant.Seconds())
		l.weight, l.sum = l.weight*left, l.sum*left
	}
	l.weight, l.sum, l.at = l.weight+float64(e.Count), l.sum+float64(e.LogSum)/logScale, now
}

// known reports whether there is enough evidence to compare the upstream with others.
func (l *Lasting) known() bool { return l.weight >= minObservations }

func (l *Lasting) mean() float64 { return l.sum / l.weight }

// Factors returns for each of a service's upstreams how much longer work takes there than at the others: 1 for those that differ
// little, or of which little is known.
func Factors(upstreams []*Lasting) []float64 {
	var means []float64
	for _, l := range upstreams {
		if l.known() {
			means = append(means, l.mean())
		}
	}
	out := make([]float64, len(upstreams))
	slices.Sort(means)
	for i, l := range upstreams {
		out[i] = 1
		if len(means) < minCompared || !l.known() {
			continue
		}
		if difference := l.mean() - means[len(means)/2]; math.Abs(difference) >= minLasting {
			out[i] = math.Exp(difference)
		}
	}
	return out
}
