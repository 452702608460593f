package cost

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxClasses bounds the classes of a table. Requests of further classes count in the coarser ones.
	maxClasses = 256
	// minSamples is the number of observations from which a class has an estimate.
	minSamples = 8
	// generation is how long observations are collected; those of the last generation count beside those of the present one.
	generation = 30 * time.Second
	// refreshShare is the part of new observations after which the estimate of a class is computed again.
	refreshShare = 1.0 / 16
	// counted is the percentile up to which observations count in the mean: the slowest ones waited for something else.
	counted = 99
	// scale is the number of histogram units in one unit of a value.
	scale = 1000
	// maxValue bounds the values of observations.
	maxValue = 60_000
)

// Class tells requests apart. Empty fields stand for all requests.
type Class struct {
	Service, Route, Team, Model string
	// Size is the size class of the body.
	Size int
}

// levels returns the class and the coarser ones that contain it, finest first.
func (c Class) levels() [4]Class {
	return [4]Class{
		c,
		{Service: c.Service, Route: c.Route, Model: c.Model, Size: c.Size},
		{Service: c.Service, Route: c.Route},
		{Service: c.Service},
	}
}

// Table holds the distribution of a value by class. It is not safe for concurrent use.
type Table struct {
	classes map[Class]*distribution
	// routes holds the costs of each service's routes.
	routes  map[string][]routeCost
	rotated time.Time
}

// routeCost is the mean of a route, and the sum of its observed values.
type routeCost struct {
	mean, sum float64
}

// distribution is what was observed of one class.
type distribution struct {
	present, last *hdrhistogram.Histogram
	// fresh is the number of observations since mean was computed.
	fresh int64
	mean  float64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{classes: make(map[Class]*distribution), routes: make(map[string][]routeCost)}
}

// Record records a value of a request. Values that are not positive numbers are ignored.
func (t *Table) Record(c Class, value float64, now time.Time) {
	if !(value > 0) || math.IsInf(value, 0) {
		return
	}
	t.rotate(now)
	units := max(1, int64(min(value, maxValue)*scale))
	levels := c.levels()
	for i, level := range levels {
		if i > 0 && level == levels[i-1] {
			continue
		}
		if d := t.distributionOf(level); d != nil && d.record(units) && level.isRoute() {
			t.updateRoutes(level.Service)
		}
	}
}

// Mean returns the mean value of the finest class of a request of which enough is known, without the largest hundredth. It returns
// false if there is none.
func (t *Table) Mean(c Class) (float64, bool) {
	for _, level := range c.levels() {
		if d := t.classes[level]; d != nil && d.mean > 0 {
			return d.mean, true
		}
	}
	return 0, false
}

// ShareAbove returns the share of a service's work that routes take whose mean is at least a multiple of the service's mean.
func (t *Table) ShareAbove(service string, factor float64) float64 {
	routes := t.routes[service]
	if len(routes) < 2 {
		return 0
	}
	mean, known := t.Mean(Class{Service: service})
	if !known {
		return 0
	}
	above, all := 0.0, 0.0
	for _, r := range routes {
		all += r.sum
		if r.mean >= factor*mean {
			above += r.sum
		}
	}
	return above / all
}

// Len returns the number of classes.
func (t *Table) Len() int { return len(t.classes) }

func (c Class) isRoute() bool { return c.Route != "" && c == Class{Service: c.Service, Route: c.Route} }

func (t *Table) distributionOf(c Class) *distribution {
	d := t.classes[c]
	if d == nil && len(t.classes) < maxClasses {
		d = &distribution{}
		t.classes[c] = d
	}
	return d
}

// rotate begins a new generation if the present one is old enough, and removes the classes that were not observed in the last.
func (t *Table) rotate(now time.Time) {
	if t.rotated.IsZero() {
		t.rotated = now
	}
	if now.Sub(t.rotated) < generation {
		return
	}
	t.rotated = now
	for c, d := range t.classes {
		d.last, d.present = d.present, nil
		if d.last == nil {
			delete(t.classes, c)
		}
	}
	for service := range t.routes {
		t.updateRoutes(service)
	}
}

// updateRoutes collects the routes of a service of which enough is known.
func (t *Table) updateRoutes(service string) {
	var routes []routeCost
	for c, d := range t.classes {
		if c.Service == service && c.isRoute() && d.mean > 0 {
			routes = append(routes, routeCost{mean: d.mean, sum: d.mean * float64(d.count())})
		}
	}
	if len(routes) == 0 {
		delete(t.routes, service)
		return
	}
	t.routes[service] = routes
}

// record adds an observation and reports whether the mean was computed again.
func (d *distribution) record(units int64) bool {
	if d.present == nil {
		d.present = hdrhistogram.New(1, maxValue*scale, 1)
	}
	_ = d.present.RecordValue(units)
	d.fresh++
	count := d.count()
	if count < minSamples || float64(d.fresh) < refreshShare*float64(count) {
		return false
	}
	d.fresh, d.mean = 0, d.trimmedMean()
	return true
}

func (d *distribution) count() int64 {
	var n int64
	for _, h := range []*hdrhistogram.Histogram{d.present, d.last} {
		if h != nil {
			n += h.TotalCount()
		}
	}
	return n
}

// trimmedMean returns the mean of the observations of both generations, without the largest ones.
func (d *distribution) trimmedMean() float64 {
	sum, n := trimmed(d.present)
	if d.last != nil {
		lastSum, lastN := trimmed(d.last)
		sum, n = sum+lastSum, n+lastN
	}
	return sum / float64(n) / scale
}

// trimmed returns the sum and the number of the observations of a histogram up to a percentile.
func trimmed(h *hdrhistogram.Histogram) (sum float64, n int64) {
	limit := h.ValueAtQuantile(counted)
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		if bar.From > limit {
			break
		}
		sum += float64(bar.Count) * float64(bar.From+bar.To) / 2
		n += bar.Count
	}
	return sum, n
}

// sizeBits is the number of bits of a size that one size class covers.
const sizeBits = 2

// SizeClass returns the class of a size in bytes: sizes of a class differ by a factor of four at most.
func SizeClass(bytes int) int {
	class := 0
	for ; bytes > 0; bytes >>= sizeBits {
		class++
	}
	return class
}
