package upstreamload

import (
	"math"
	"time"
)

const (
	// correctionTimeConstant is how fast a correction loses its weight: VMs report their work a few times a second.
	correctionTimeConstant = 250 * time.Millisecond
	// countTolerance is the least difference that counts: requests arrive and end while a report is on its way.
	countTolerance = 2
)

// Requests is what an upstream reports of the requests that it has from other VMs. The zero value holds no report.
type Requests struct {
	others float64
	at     time.Time
}

// Record records a report of a moment.
func (r *Requests) Record(others int, at time.Time) {
	if at.After(r.at) {
		r.others, r.at = float64(max(0, others)), at
	}
}

// Correction returns what has to be added now to the number of other VMs' requests that these VMs have told. It may be negative.
func (r *Requests) Correction(told int, now time.Time) int {
	difference := r.others - float64(told)
	if r.at.IsZero() || math.Abs(difference) < countTolerance {
		return 0
	}
	age := max(0, now.Sub(r.at))
	return int(math.Trunc(difference * math.Exp(-age.Seconds()/correctionTimeConstant.Seconds())))
}
