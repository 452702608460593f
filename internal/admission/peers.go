package admission

import "time"

const (
	// reportLifetime is how long the last report of another VM counts: a few report intervals.
	reportLifetime = 2 * time.Second
	// freshAge is the age up to which a report is fresh.
	freshAge = time.Second
	// sourceRetention is how long the totals of a VM are kept after its last report.
	sourceRetention = 30 * time.Second
)

// Report is what another VM tells, for itself or for the VMs that it represents.
type Report struct {
	VM string
	// VMs is how many VMs there are, the receiver included.
	VMs         int
	Incarnation int64
	// Scope says which VMs the report covers. Totals of different scopes cannot be compared.
	Scope int32
	// Offered holds totals by name, as of Controller.Offered. Names that are missing have not changed.
	Offered map[string]float64
}

// source is what a VM has told.
type source struct {
	incarnation int64
	scope       int32
	at          time.Time
	totals      map[string]float64
	rates       map[Pool]*told
}

// told is what a VM has told of a pool.
type told struct {
	// began is the begin of the first period of which it has told.
	began time.Time
	keys  map[key]*rate
}

// ApplyReport applies a report of another VM.
func (c *Controller) ApplyReport(r Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms = max(1, r.VMs)
	s := c.sources[r.VM]
	if s == nil || s.incarnation != r.Incarnation || s.scope != r.Scope {
		// What was asked for before the first report is no present demand.
		s = &source{incarnation: r.Incarnation, scope: r.Scope, at: now, totals: make(map[string]float64), rates: make(map[Pool]*told)}
		c.sources[r.VM] = s
		for name, total := range r.Offered {
			s.totals[name] = total
		}
		return
	}
	period := now.Sub(s.at)
	if period <= 0 {
		return
	}
	s.at = now
	s.add(r.Offered, period, now)
	c.expireSources(now)
}

// add adds the increase of the totals in a period to the rates.
func (s *source) add(totals map[string]float64, period time.Duration, now time.Time) {
	for pool, t := range s.rates {
		for k, r := range t.keys {
			if r.value *= decay(period, rateWindow); r.value < negligibleRate {
				delete(t.keys, k)
			}
		}
		if len(t.keys) == 0 {
			delete(s.rates, pool)
		}
	}
	for name, total := range totals {
		increase := total - s.totals[name]
		s.totals[name] = total
		if pool, k, ok := parseName(name); ok && increase > 0 {
			s.rateOf(pool, k, now.Add(-period)).value += increase * (1 - decay(period, rateWindow)) / period.Seconds()
		}
	}
}

func (s *source) rateOf(p Pool, k key, began time.Time) *rate {
	t := s.rates[p]
	if t == nil {
		t = &told{began: began, keys: make(map[key]*rate)}
		s.rates[p] = t
	}
	if t.keys[k] == nil {
		t.keys[k] = &rate{}
	}
	return t.keys[k]
}

func (c *Controller) expireSources(now time.Time) {
	for vm, s := range c.sources {
		if now.Sub(s.at) > sourceRetention {
			delete(c.sources, vm)
		}
	}
}

// fresh reports whether the state of the other VMs is known.
func (c *Controller) fresh(now time.Time) bool {
	if c.vms <= 1 {
		return true
	}
	for _, s := range c.sources {
		if now.Sub(s.at) <= freshAge {
			return true
		}
	}
	return false
}

// eachPeerRate calls f with the rates that other VMs have told of a pool.
func (c *Controller) eachPeerRate(p Pool, now time.Time, f func(key, float64)) {
	for _, s := range c.sources {
		if now.Sub(s.at) > reportLifetime {
			continue
		}
		t := s.rates[p]
		if t == nil {
			continue
		}
		// The averages have begun at zero.
		scale := 1 / (1 - decay(s.at.Sub(t.began), rateWindow))
		for k, r := range t.keys {
			f(k, r.value*scale)
		}
	}
}
