package demand

import (
	"math"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Options configures an Estimator. The zero value of a field selects its
// default.
type Options struct {
	// Rise is the time constant with which an estimate follows rising demand.
	// It is short because a flash crowd arrives within a minute. The default is
	// 5s.
	Rise time.Duration
	// Fall is the time constant with which an estimate follows falling demand.
	// It is long so that a lull between two peaks moves no copies. The default
	// is 10m.
	Fall time.Duration
	// ReportTTL is how long a VM's last report counts. The default is 15s.
	ReportTTL time.Duration
}

// Defaults of Options.
const (
	DefaultRise      = 5 * time.Second
	DefaultFall      = 10 * time.Minute
	DefaultReportTTL = 15 * time.Second
)

// negligibleRate is the rate in tokens per second below which a name that is no
// longer requested is dropped.
const negligibleRate = 0.01

// Estimator sums the reports of all entry VMs and smooths the result. It is not
// safe for concurrent use.
type Estimator struct {
	options   Options
	reports   map[string]vmReport
	rates     map[placement.Name]float64
	updatedAt time.Time
}

type vmReport struct {
	receivedAt time.Time
	rates      map[placement.Name]float64
	restRate   float64
}

// NewEstimator returns an estimator that has no reports.
func NewEstimator(o Options) *Estimator {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&o.Rise, DefaultRise}, {&o.Fall, DefaultFall}, {&o.ReportTTL, DefaultReportTTL}} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	return &Estimator{options: o, reports: make(map[string]vmReport), rates: make(map[placement.Name]float64)}
}

// Observe records a VM's report. A repeated or late report replaces the VM's
// previous one, so no report is counted twice.
func (e *Estimator) Observe(r Report, now time.Time) {
	seconds := float64(max(1, r.WindowMS)) / 1000
	report := vmReport{receivedAt: now, rates: make(map[placement.Name]float64, len(r.Top)), restRate: float64(max(0, r.Rest)) / seconds}
	for i, count := range r.Top {
		if i == MaxTopNames {
			break
		}
		report.rates[count.Name] += float64(max(0, count.Tokens)) / seconds
	}
	e.reports[r.VM] = report
}

// Rates returns the estimate for every name with demand, in tokens per second.
func (e *Estimator) Rates(now time.Time) map[placement.Name]float64 {
	offered := e.offeredRates(now)
	elapsed := now.Sub(e.updatedAt)
	if e.updatedAt.IsZero() {
		elapsed = 0
	}
	e.updatedAt = now
	for name := range offered {
		if _, known := e.rates[name]; !known {
			e.rates[name] = 0
		}
	}
	for name, rate := range e.rates {
		next := e.smooth(rate, offered[name], elapsed)
		if next < negligibleRate && offered[name] == 0 {
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

func (e *Estimator) smooth(rate, offered float64, elapsed time.Duration) float64 {
	timeConstant := e.options.Fall
	if offered > rate {
		timeConstant = e.options.Rise
	}
	return rate + (offered-rate)*(1-math.Exp(-float64(elapsed)/float64(timeConstant)))
}

// offeredRates returns the sum of the VMs' last reports and discards the
// reports that have expired.
func (e *Estimator) offeredRates(now time.Time) map[placement.Name]float64 {
	sum := make(map[placement.Name]float64)
	for vm, report := range e.reports {
		if now.Sub(report.receivedAt) > e.options.ReportTTL {
			delete(e.reports, vm)
			continue
		}
		for name, rate := range report.rates {
			sum[name] += rate
		}
		e.distributeRest(report, sum)
	}
	return sum
}

// distributeRest adds the part of a report that is not attributed to names. It
// is divided among the names that the report does not list, in proportion to
// their estimates.
func (e *Estimator) distributeRest(report vmReport, sum map[placement.Name]float64) {
	if report.restRate <= 0 {
		return
	}
	var others float64
	for name, rate := range e.rates {
		if _, named := report.rates[name]; !named {
			others += rate
		}
	}
	if others <= 0 {
		return
	}
	for name, rate := range e.rates {
		if _, named := report.rates[name]; !named {
			sum[name] += report.restRate * rate / others
		}
	}
}
