package admission

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates at which requests arrive: a few reports.
	rateWindow = 500 * time.Millisecond
	// negligibleRate is the rate in seconds of cost per second below which a class counts as idle.
	negligibleRate = 1e-6
)

// rate is an exponential average of what arrives per second.
type rate struct {
	value float64
	at    time.Time
}

// add adds an amount that arrives now.
func (r *rate) add(amount float64, now time.Time) {
	r.value = r.current(now) + amount/rateWindow.Seconds()
	r.at = now
}

// current returns the rate now.
func (r *rate) current(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * decay(now.Sub(r.at), rateWindow)
}

// decay returns what is left of an exponential average after some time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / timeConstant.Seconds())
}
