package concurrency

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time in which the platform counts an upstream's rejections.
	rejectionWindow = time.Second
	// growInterval is the time after which a limit that a rejection has lowered is raised by one.
	growInterval = time.Second
	// holdSmoothing is the weight of the previous mean of the time for which permits are held when one is added.
	holdSmoothing = 0.9
	// initialHold is the assumed time for which permits are held before any was released.
	initialHold = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the time after which a VM that was denied a permit asks again.
	minRetryAfter, maxRetryAfter = 10 * time.Millisecond, 500 * time.Millisecond
	// idleTime is the time without asks after which another VM may have issued the permits meanwhile. settleTime is how long
	// none is issued then: until reports show what that VM has issued. reportLag is the time after which reports show what
	// this limiter has issued.
	idleTime   = time.Second
	settleTime = 750 * time.Millisecond
	reportLag  = time.Second
	// maxWaiting bounds the requests that wait for a permit of one upstream.
	maxWaiting = 256
)

// Permit identifies a permit: the process that asked for it, and its number there.
type Permit struct {
	VM          string
	Incarnation int64
	Number      uint64
}

// Upstream is what is known of the upstream when a permit is asked for.
type Upstream struct {
	// Slots is the number of requests that it runs at once.
	Slots int
	// InFlight is the number of requests that all VMs are known to have there: late by the interval of reports.
	InFlight int
	// MaxRejections is the number of requests that it may reject within a second.
	MaxRejections int
	// KnownFor is how long it has been known that permits are needed.
	KnownFor time.Duration
}

// Ask is a request for a permit.
type Ask struct {
	Permit Permit
	// MaxWait is how long the request can wait for a permit, TimeLeft how long it may run.
	MaxWait, TimeLeft time.Duration
}

// Outcome is the answer to an ask.
type Outcome int

const (
	// Denied: ask again later.
	Denied Outcome = iota
	// Granted: the request may be sent.
	Granted
	// Waiting: the permit is granted by a later call, or the ask has to be cancelled.
	Waiting
)

// Limiter issues the permits of one upstream. It is not safe for concurrent use.
type Limiter struct {
	// held holds the permits in use.
	held map[Permit]heldPermit
	// foreign is the number of requests in flight that have no permit of this limiter: they were sent before it began.
	foreign int
	// askedAt is when a permit was last asked for, zero before the first time.
	askedAt time.Time
	// settledAt is from when permits are issued.
	settledAt time.Time
	// limit is the number of requests in flight up to which permits are issued. raisedAt is when it was last raised.
	limit    int
	raisedAt time.Time
	slots    int
	// rejectedAt holds the rejections of the last second, allowed how many there may be.
	rejectedAt []time.Time
	allowed    int
	// waiting holds the asks that wait, first come first served.
	waiting []Ask
	// hold is the mean time for which permits are held.
	hold time.Duration
}

type heldPermit struct{ since, until time.Time }

// NewLimiter returns a Limiter without permits.
func NewLimiter() *Limiter { return &Limiter{held: make(map[Permit]heldPermit), hold: initialHold} }

// Take asks for a permit. retryAfter is the time after which one may be available if it is denied.
func (l *Limiter) Take(a Ask, u Upstream, now time.Time) (o Outcome, retryAfter time.Duration) {
	l.observe(u, now)
	if len(l.waiting) == 0 && l.hasRoom(now) {
		l.grant(a, now)
		return Granted, 0
	}
	if wait := l.expectedWait(now); wait > a.MaxWait || len(l.waiting) >= maxWaiting {
		return Denied, min(max(wait, minRetryAfter), maxRetryAfter)
	}
	l.waiting = append(l.waiting, a)
	return Waiting, 0
}

// Release gives a permit back, and returns the permits that are granted thereby. rejected means that the upstream rejected
// the request for want of room.
func (l *Limiter) Release(p Permit, rejected bool, now time.Time) []Permit {
	if h, ok := l.held[p]; ok {
		delete(l.held, p)
		if !rejected {
			l.hold = time.Duration(holdSmoothing*float64(l.hold) + (1-holdSmoothing)*float64(now.Sub(h.since)))
		}
	} else {
		l.Cancel(p)
	}
	if rejected {
		l.rejectedAt = append(l.rejectedAt, now)
		l.limit = max(1, min(l.limit, l.InFlight()))
		l.raisedAt = now
	}
	return l.Advance(now)
}

// Cancel removes an ask that waits, and reports whether it did.
func (l *Limiter) Cancel(p Permit) bool {
	i := slices.IndexFunc(l.waiting, func(a Ask) bool { return a.Permit == p })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// Holds reports whether a permit has been granted and not been released.
func (l *Limiter) Holds(p Permit) bool {
	_, ok := l.held[p]
	return ok
}

// Advance returns the permits that are granted because time has passed.
func (l *Limiter) Advance(now time.Time) []Permit {
	l.expire(now)
	var out []Permit
	for len(l.waiting) > 0 && l.hasRoom(now) {
		next := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.grant(next, now)
		out = append(out, next.Permit)
	}
	return out
}

// Retain releases the permits of VMs that are gone, or that have started anew: their upstreams have dropped the requests.
func (l *Limiter) Retain(runs func(vm string, incarnation int64) bool) {
	for p := range l.held {
		if !runs(p.VM, p.Incarnation) {
			delete(l.held, p)
		}
	}
}

// InFlight returns the number of requests that are known to be in flight.
func (l *Limiter) InFlight() int { return len(l.held) + l.foreign }

func (l *Limiter) grant(a Ask, now time.Time) {
	l.held[a.Permit] = heldPermit{since: now, until: now.Add(a.TimeLeft)}
}

// hasRoom reports whether another permit may be issued.
func (l *Limiter) hasRoom(now time.Time) bool {
	return l.InFlight() < l.limit && !now.Before(l.settledAt) && !l.paused(now)
}

// paused reports whether the upstream has rejected half of what it may within a second: others may be on their way.
func (l *Limiter) paused(now time.Time) bool {
	l.rejectedAt = slices.DeleteFunc(l.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	return 2*len(l.rejectedAt) > l.allowed
}

// observe applies what is known of the upstream.
func (l *Limiter) observe(u Upstream, now time.Time) {
	l.expire(now)
	if l.askedAt.IsZero() || l.slots != u.Slots {
		l.limit, l.raisedAt = max(1, u.Slots), now
	}
	l.slots, l.allowed = u.Slots, u.MaxRejections
	idle := now.Sub(l.askedAt) > idleTime
	if idle {
		l.settledAt = now
	}
	if idle && u.KnownFor > idleTime && (l.askedAt.IsZero() || u.InFlight > len(l.held)) {
		l.settledAt = now.Add(settleTime)
	}
	others := u.InFlight
	if now.Sub(l.settledAt) >= reportLag {
		others = max(0, u.InFlight-len(l.held))
	}
	if idle || others < l.foreign || now.Before(l.settledAt) {
		l.foreign = others
	}
	l.askedAt = now
	if l.limit < l.slots && now.Sub(l.raisedAt) >= growInterval {
		l.limit++
		l.raisedAt = now
	}
}

// expire releases the permits of requests whose time is over.
func (l *Limiter) expire(now time.Time) {
	for p, h := range l.held {
		if !now.Before(h.until) {
			delete(l.held, p)
		}
	}
}

// expectedWait returns how long another ask is expected to wait.
func (l *Limiter) expectedWait(now time.Time) time.Duration {
	wait := max(0, l.settledAt.Sub(now)) + l.hold*time.Duration(len(l.waiting)+1)/time.Duration(max(1, l.limit))
	if l.paused(now) {
		wait += rejectionWindow - now.Sub(l.rejectedAt[0])
	}
	return wait
}
