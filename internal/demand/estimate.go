package demand

import (
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Options tunes an Estimator. The zero value of a field selects its default.
type Options struct {
	// Rise is the time constant with which an estimate follows more demand.
	// A flash crowd comes within a minute, so it is short: 5s.
	Rise time.Duration
	// Fall is the time constant with which an estimate follows less demand. A
	// lull between two rushes should move nothing: 10m.
	Fall time.Duration
	// Forget is how long a VM's last report counts. The default is 15s.
	Forget time.Duration
}

// Defaults of Options.
const (
	DefaultRise   = 5 * time.Second
	DefaultFall   = 10 * time.Minute
	DefaultForget = 15 * time.Second
)

// negligible is the rate in tokens per second below which a name is dropped.
const negligible = 0.01

// Estimator adds up the reports of all entry VMs and smooths them. It is not
// safe for concurrent use.
type Estimator struct {
	options Options
	vms     map[string]heard
	rates   map[placement.Name]float64
	updated time.Time
}

type heard struct {
	at    time.Time
	rates map[placement.Name]float64
	rest  float64
}

// NewEstimator returns an estimator without demand.
func NewEstimator(o Options) *Estimator {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&o.Rise, DefaultRise}, {&o.Fall, DefaultFall}, {&o.Forget, DefaultForget}} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	return &Estimator{options: o, vms: make(map[string]heard), rates: make(map[placement.Name]float64)}
}

// Hear takes in a report. A repeat or a late one replaces the VM's last, so it
// is never counted twice.
func (e *Estimator) Hear(r Report, now time.Time) {
	seconds := float64(max(1, r.WindowMS)) / 1000
	h := heard{at: now, rates: make(map[placement.Name]float64, len(r.Top)), rest: float64(max(0, r.Rest)) / seconds}
	for i, count := range r.Top {
		if i == MaxTop {
			break
		}
		h.rates[count.Name] += float64(max(0, count.Tokens)) / seconds
	}
	e.vms[r.VM] = h
}

// Rates returns the estimate for every name with demand, in tokens per second.
func (e *Estimator) Rates(now time.Time) map[placement.Name]float64 {
	offered := e.offered(now)
	elapsed := now.Sub(e.updated)
	if e.updated.IsZero() {
		elapsed = 0
	}
	e.updated = now
	for name := range offered {
		if _, known := e.rates[name]; !known {
			e.rates[name] = 0
		}
	}
	for name, rate := range e.rates {
		next := e.follow(rate, offered[name], elapsed)
		if next < negligible && offered[name] == 0 {
			delete(e.rates, name)
			continue
		}
		e.rates[name] = next
	}
	out := make(map[placement.Name]float64, len(e.rates))
	for name, rate := range e.rates {
		out[name] = rate
	}
	return out
}

func (e *Estimator) follow(rate, offered float64, elapsed time.Duration) float64 {
	constant := e.options.Fall
	if offered > rate {
		constant = e.options.Rise
	}
	return rate + (offered-rate)*(1-math.Exp(-float64(elapsed)/float64(constant)))
}

// offered is what the VMs reported last, added up.
func (e *Estimator) offered(now time.Time) map[placement.Name]float64 {
	sum := make(map[placement.Name]float64)
	for vm, h := range e.vms {
		if now.Sub(h.at) > e.options.Forget {
			delete(e.vms, vm)
			continue
		}
		for name, rate := range h.rates {
			sum[name] += rate
		}
		e.spread(h, sum)
	}
	return sum
}

// spread adds the part of a report that names nobody, in proportion to the
// estimates of the names that the report leaves out.
func (e *Estimator) spread(h heard, sum map[placement.Name]float64) {
	if h.rest <= 0 {
		return
	}
	var others float64
	for name, rate := range e.rates {
		if _, named := h.rates[name]; !named {
			others += rate
		}
	}
	if others <= 0 {
		return
	}
	for name, rate := range e.rates {
		if _, named := h.rates[name]; !named {
			sum[name] += h.rest * rate / others
		}
	}
}
