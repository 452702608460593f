package teamrate

import (
	"sync"
	"time"
)

const (
	// silentAfter is how long a VM may say nothing before it is taken to use its
	// equal part: four reports.
	silentAfter = 1200 * time.Millisecond
	// slackShare is the part of the tolerated excess that deepens every bucket. The
	// rest is for what VMs admit before they hear of each other.
	slackShare = 0.25
	// startShare is the part of a full bucket with which a VM starts: it does not
	// know what the others have admitted before.
	startShare = 0.3
	// largestWait bounds what a caller is told to wait.
	largestWait = 5 * time.Second
)

// Limit is one team's rate.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Limiter is one VM's view of all teams' buckets. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// slack is what the platform tolerates beyond rate and burst, in units.
	slack float64
	teams map[string]*bucket
	peers map[string]*peer
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// admitted counts what this VM has admitted since it started.
	admitted float64
}

// peer is another VM.
type peer struct {
	incarnation int64
	heard       time.Time
	// admitted is what it has reported by team.
	admitted map[string]float64
	// assumed is what was taken from the buckets for it while it was silent.
	assumed map[string]float64
}

// New returns a limiter without teams.
func New(slack float64) *Limiter {
	return &Limiter{slack: slack, teams: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// SetLimits takes the limits in force. A team that is not named has none.
func (l *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, limit := range limits {
		b := l.teams[team]
		if b == nil {
			b = &bucket{at: now, level: startShare * l.depth(limit)}
			l.teams[team] = b
		}
		l.refill(team, b, now)
		b.limit = limit
		b.level = min(b.level, l.depth(limit))
	}
	for team, b := range l.teams {
		if _, ok := limits[team]; !ok {
			b.limit = Limit{}
		}
	}
}

func (l *Limiter) depth(limit Limit) float64 { return limit.Burst + slackShare*l.slack }

// SetPeers names the other VMs. One that is not named any more is forgotten.
func (l *Limiter) SetPeers(vms []string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillAll(now)
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		known[vm] = true
		if l.peers[vm] == nil {
			l.peers[vm] = &peer{heard: now, admitted: make(map[string]float64), assumed: make(map[string]float64)}
		}
	}
	for vm := range l.peers {
		if !known[vm] {
			delete(l.peers, vm)
		}
	}
}

// Report takes what another VM has admitted by team since its start.
func (l *Limiter) Report(vm string, incarnation int64, admitted map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil {
		return
	}
	l.refillAll(now)
	fresh := p.incarnation != incarnation
	for team, total := range admitted {
		b := l.teams[team]
		if b == nil {
			continue
		}
		before, known := p.admitted[team]
		if known && !fresh {
			b.level = min(b.level+p.assumed[team]-(total-before), l.depth(b.limit))
		}
		p.admitted[team] = total
	}
	p.incarnation, p.heard = incarnation, now
	clear(p.assumed)
}

// Admitted returns what this VM has admitted by team since it started.
func (l *Limiter) Admitted() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.teams))
	for team, b := range l.teams {
		out[team] = b.admitted
	}
	return out
}

// Take admits a request of so many units, or says when there will be enough. A
// request larger than the bucket passes when the bucket is full.
func (l *Limiter) Take(team string, units float64, now time.Time) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	l.refill(team, b, now)
	need := min(units, l.depth(b.limit))
	if b.level < need {
		wait := time.Duration((need - b.level) / b.limit.Rate * float64(time.Second))
		return false, min(max(wait, 50*time.Millisecond), largestWait)
	}
	b.level -= units
	b.admitted += units
	return true, 0
}

// Return gives back what a request took that did not run.
func (l *Limiter) Return(team string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil {
		return
	}
	b.admitted -= units
	b.level = min(b.level+units, l.depth(b.limit))
}

// Levels returns what is left of each team's bucket, for status pages.
func (l *Limiter) Levels(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillAll(now)
	out := make(map[string]float64, len(l.teams))
	for team, b := range l.teams {
		out[team] = b.level
	}
	return out
}

func (l *Limiter) refillAll(now time.Time) {
	for team, b := range l.teams {
		l.refill(team, b, now)
	}
}

// refill adds what has accrued since, less the equal parts of the VMs that are
// silent.
func (l *Limiter) refill(team string, b *bucket, now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	accrued := b.limit.Rate * passed.Seconds()
	part := accrued / float64(len(l.peers)+1)
	for _, p := range l.peers {
		if now.Sub(p.heard) > silentAfter {
			p.assumed[team] += part
			accrued -= part
		}
	}
	b.level = min(b.level+accrued, l.depth(b.limit))
	b.at = now
}
