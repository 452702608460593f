package upstreamload

import (
	"math"
	"time"
)

const (
	// defaultPersistence is assumed before any two reports of a service could be compared.
	defaultPersistence = 500 * time.Millisecond
	minPersistence     = 50 * time.Millisecond
	maxPersistence     = 20 * time.Second
	// persistenceGain is how far one pair of reports moves the logarithm of the time constant.
	persistenceGain = 0.3
)

// Persistence is how long the slowdowns of a service's upstreams last. The zero value holds the default.
type Persistence struct {
	timeConstant time.Duration
}

// TimeConstant returns the time after which a report counts for 1/e of its deviation from the usual.
func (p *Persistence) TimeConstant() time.Duration {
	if p.timeConstant == 0 {
		return defaultPersistence
	}
	return p.timeConstant
}

// remaining returns the part of a deviation that is expected to be left after a time.
func (p *Persistence) remaining(age time.Duration) float64 {
	return math.Exp(-max(0, age).Seconds() / p.TimeConstant().Seconds())
}

// learn records that a deviation from the usual was found to be another one after a time. Deviations are logarithms.
func (p *Persistence) learn(before, after float64, age time.Duration) {
	if math.Abs(before) < minDeviation {
		return
	}
	left := min(max(after/before, 0), 1)
	next := p.TimeConstant().Seconds() * math.Exp(persistenceGain*(left-p.remaining(age)))
	p.timeConstant = min(max(time.Duration(next*float64(time.Second)), minPersistence), maxPersistence)
}
