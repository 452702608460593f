package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// silence is how long no upstream of a service may have sent anything for the service to be checked.
	silence = 250 * time.Millisecond
	// overdueFactor is the multiple of the expected time after which the first sign of an upstream is overdue.
	overdueFactor = 2
	// checkInterval is the least time between two checks of a service that is reached, cutCheckInterval between two of
	// one that is not.
	checkInterval    = 300 * time.Millisecond
	cutCheckInterval = 400 * time.Millisecond
	// Probes is the number of upstreams to which a check opens a connection.
	Probes = 3
	// reachedProbes is the number of these that have to be reached for the service to count as reached again, if there
	// are that many.
	reachedProbes = 2
	// holdTime is how long a VM goes on counting as cut off after it has reached the service again, so that callers are
	// not led back and forth while a link flaps.
	holdTime = time.Second
)

// Tracker holds what is known of a VM's way to the upstreams of each service. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	// lastSign is when an upstream of the service last sent anything.
	lastSign time.Time
	// failed is set if an exchange has failed since.
	failed bool
	// waiting holds the exchanges that have not got a sign from their upstream.
	waiting map[*Exchange]struct{}
	// checkedAt is when the last check began, checking is set until it ends.
	checkedAt time.Time
	checking  bool
	cut       bool
	// cutAt is when the service was found not to be reached.
	cutAt time.Time
	// regainedAt is when the service was reached again.
	regainedAt time.Time
}

// Exchange is an exchange with an upstream from which nothing has arrived yet.
type Exchange struct {
	service string
	// overdue is when the upstream's first sign is overdue.
	overdue time.Time
	// onCut, unless nil, is called once the service is not reached any more.
	onCut func()
}

// NewTracker returns a tracker by which all services are reached.
func NewTracker() *Tracker { return &Tracker{services: make(map[string]*service)} }

func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{waiting: make(map[*Exchange]struct{})}
		t.services[name] = s
	}
	return s
}

// Begin records that an exchange with an upstream of a service begins, whose first sign is expected after a time. onCut
// is called in a goroutine of its own if the service turns out not to be reached before the exchange has ended.
func (t *Tracker) Begin(name string, expected time.Duration, onCut func(), now time.Time) *Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := &Exchange{service: name, overdue: now.Add(max(silence, overdueFactor*expected)), onCut: onCut}
	t.service(name).waiting[x] = struct{}{}
	return x
}

// End records that an exchange has ended, or has got its first sign. failed means that it ended without one, for another
// reason than that its caller left.
func (t *Tracker) End(x *Exchange, failed bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(x.service)
	if _, waiting := s.waiting[x]; !waiting {
		return
	}
	delete(s.waiting, x)
	s.failed = s.failed || failed || now.After(x.overdue)
}

// Sign records that an upstream of a service has sent something.
func (t *Tracker) Sign(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.lastSign, s.failed = now, false
}

// Due returns the services whose upstreams have to be checked now, and records that their checks begin.
func (t *Tracker) Due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.checking || !s.due(now) {
			continue
		}
		s.checking, s.checkedAt = true, now
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (s *service) due(now time.Time) bool {
	if s.cut {
		return now.Sub(s.checkedAt) >= cutCheckInterval
	}
	if now.Sub(s.lastSign) < silence || now.Sub(s.checkedAt) < checkInterval {
		return false
	}
	if s.failed {
		return true
	}
	for x := range s.waiting {
		if now.After(x.overdue) {
			return true
		}
	}
	return false
}

// Change is the outcome of a check.
type Change int

// The outcomes: nothing new, the service is not reached any more, it is reached again.
const (
	None Change = iota
	Lost
	Regained
)

// AbandonCheck records that a check has shown nothing.
func (t *Tracker) AbandonCheck(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(name).checking = false
}

// RecordCheck records how many of the upstreams that a check tried it reached. A service without upstreams is not cut.
func (t *Tracker) RecordCheck(name string, tried, reached int, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.checking = false
	signs := s.lastSign.After(s.checkedAt)
	switch {
	case !s.cut && tried > 0 && reached == 0 && !signs:
		s.cut, s.cutAt = true, now
		for x := range s.waiting {
			if x.onCut != nil {
				go x.onCut()
			}
		}
		return Lost
	case s.cut && reached >= min(reachedProbes, tried):
		s.cut, s.failed, s.regainedAt = false, false, now
		return Regained
	case !s.cut && reached > 0:
		s.failed = false
	}
	return None
}

// Cut reports whether the upstreams of a service are not reached.
func (t *Tracker) Cut(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && s.cut
}

// CutFor returns for how long the upstreams of a service have not been reached, zero if they are.
func (t *Tracker) CutFor(name string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || !s.cut {
		return 0
	}
	return now.Sub(s.cutAt)
}

// CutOff returns the services that are not reached, or were not until a moment ago.
func (t *Tracker) CutOff(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.cut || now.Sub(s.regainedAt) < holdTime {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
