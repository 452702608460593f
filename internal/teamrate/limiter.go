package teamrate

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// silentAfter is how long a VM may say nothing before it is taken to use its
	// equal part: nearly three reports. Until then both sides of a cut use the whole.
	silentAfter = 700 * time.Millisecond
	// pressed is the part of a full bucket below which a VM paces itself. Below it a
	// team is near its rate, and what all VMs admit before they hear of each other
	// would go beyond.
	pressed = 0.6
	// paceShare is how much of the rate a VM may use then, as a multiple of its equal
	// part: callers are never spread quite evenly.
	// Where some VMs report for many, reports take up to three turns, and what all may run
	// ahead has to be less.
	paceShare     = 1.6
	paceShareMany = 1.15
	// paceDepth is how far a VM may run ahead of its pace: about one report.
	paceDepth = 300 * time.Millisecond
	// depthShare and refillShare are the parts of the tolerated excess that deepen
	// every bucket and that flow into it in each window. The tolerance is there since
	// many VMs cannot count as exactly as one; what their late reports do not need of
	// it (in the tests, seven VMs overshoot by up to a tenth of a window) goes to the
	// team, so that a small rate is not refused out of caution.
	depthShare  = 0.15
	refillShare = 0.4
	// handover is how long after a report for many VMs they are taken to go on as before:
	// the time in which another VM takes the place of the one that reported.
	handover = 2 * time.Second
	// handoverMargin is how much more than before they are taken to use then.
	handoverMargin = 1.3
	// usageMemory is the time over which the use of others is averaged.
	usageMemory = time.Second
	// shortestWait and largestWait bound what a caller is told to wait.
	shortestWait = 50 * time.Millisecond
	largestWait  = 5 * time.Second
)

// Limit is one team's rate.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Tolerance is what the platform tolerates beyond a team's rate and burst.
type Tolerance struct {
	// Units may be used beyond them in any Window.
	Units  float64
	Window time.Duration
}

// perSecond is the part of the tolerance that flows into every bucket.
func (t Tolerance) perSecond() float64 {
	if t.Window <= 0 {
		return 0
	}
	return refillShare * t.Units / t.Window.Seconds()
}

// Limiter is one VM's view of all teams' buckets. It is safe for concurrent use.
type Limiter struct {
	mu          sync.Mutex
	tolerance   Tolerance
	incarnation int64
	teams       map[string]*bucket
	peers       map[string]*peer
	// vms is how many VMs share the rates, zero while that is not known: nothing is
	// admitted then, since each of many VMs that start at once would use the whole.
	vms float64
	// heardMany is when a VM that reports for many was last heard.
	heardMany time.Time
	// started is when the VM first knew of others.
	started time.Time
	draw    *rand.Rand
}

type bucket struct {
	limit Limit
	level float64
	at    time.Time
	// admitted counts what this VM has admitted since it started.
	admitted float64
	// others is what other VMs used lately, in units a second, as of heard.
	others float64
	heard  time.Time
	// pace is what this VM may admit while the bucket is low.
	pace float64
	// asked is what all VMs are asked for, offered what this one was asked for since it
	// started.
	asked   asking
	offered float64
}

// peer is another VM that reports.
type peer struct {
	// weight is how many VMs it reports for.
	weight      float64
	incarnation int64
	heard       time.Time
	// admitted is what it has reported by team, asked what it was asked for.
	admitted, asked map[string]float64
	// since is when it was first heard.
	since time.Time
	// assumed is what was taken from the buckets for it while it was silent.
	assumed map[string]float64
}

// New returns a limiter without teams. incarnation is this VM's own.
func New(t Tolerance, incarnation int64) *Limiter {
	return &Limiter{tolerance: t, incarnation: incarnation, teams: make(map[string]*bucket), peers: make(map[string]*peer),
		draw: rand.New(rand.NewPCG(uint64(incarnation), 0))}
}

// SetTolerance takes a new tolerance.
func (l *Limiter) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetLimits takes the limits in force. A team that is not named has none.
func (l *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, limit := range limits {
		b := l.teams[team]
		if b == nil {
			// Nearly empty: the VM does not know what was admitted before it started, and if
			// all have just started, what each held would add up.
			b = &bucket{at: now, heard: now, level: startLevel.Seconds() * l.flow(limit)}
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

// flow is what comes into a bucket a second.
func (l *Limiter) flow(limit Limit) float64 { return limit.Rate + l.tolerance.perSecond() }

func (l *Limiter) depth(limit Limit) float64 { return limit.Burst + depthShare*l.tolerance.Units }

// SetPeers names the VMs that report, and how many VMs each reports for. One that is
// not named any more is forgotten.
func (l *Limiter) SetPeers(weights map[string]int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refillAll(now)
	if l.started.IsZero() {
		l.started = now
	}
	l.vms = 1
	for vm, weight := range weights {
		l.vms += float64(weight)
		if l.peers[vm] == nil {
			l.peers[vm] = &peer{admitted: make(map[string]float64), asked: make(map[string]float64), assumed: make(map[string]float64)}
		}
		l.peers[vm].weight = float64(weight)
	}
	for vm := range l.peers {
		if _, ok := weights[vm]; !ok {
			delete(l.peers, vm)
		}
	}
}

// Report takes what another VM has admitted and was asked for by team since its start. Teams
// that are missing have the same totals as in its last report.
func (l *Limiter) Report(vm string, incarnation int64, admitted, asked map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[vm]
	if p == nil {
		return
	}
	l.refillAll(now)
	if p.incarnation != incarnation {
		l.meet(p, incarnation, admitted)
		p.since = now
		clear(p.asked)
		maps.Copy(p.asked, asked)
	}
	l.noteAsked(p, asked, now)
	for team, b := range l.teams {
		used := 0.0
		if total, told := admitted[team]; told {
			used = total - p.admitted[team]
			b.noteOthers(used, now)
		}
		b.level = min(b.level+p.assumed[team]-used, l.depth(b.limit))
	}
	maps.Copy(p.admitted, admitted)
	p.incarnation, p.heard = incarnation, now
	if p.weight > 1 {
		l.heardMany = now
	}
	clear(p.assumed)
}

// noteOthers averages what other VMs use.
func (b *bucket) noteOthers(units float64, now time.Time) {
	b.others = b.others*math.Exp(-now.Sub(b.heard).Seconds()/usageMemory.Seconds()) + units/usageMemory.Seconds()
	b.heard = now
}

// meet notes a VM that has started or is heard for the first time. What a VM has
// admitted that started after this one counts whole; what an older one admitted
// before this one heard of it does not, nor what one that reports for many has added up.
func (l *Limiter) meet(p *peer, incarnation int64, admitted map[string]float64) {
	clear(p.admitted)
	if p.weight <= 1 && (p.incarnation != 0 || incarnation > l.incarnation) {
		return
	}
	for team, total := range admitted {
		p.admitted[team] = total
	}
}

// Admitted returns what this VM has admitted by team since it started.
func (l *Limiter) Admitted() map[string]float64 {
	return l.totals(func(b *bucket) float64 { return b.admitted })
}

// Asked returns what this VM was asked for by team since it started.
func (l *Limiter) Asked() map[string]float64 {
	return l.totals(func(b *bucket) float64 { return b.offered })
}

func (l *Limiter) totals(of func(*bucket) float64) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.teams))
	for team, b := range l.teams {
		out[team] = of(b)
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
	b.offered += units
	b.asked.add(units, now)
	need := min(units, l.depth(b.limit))
	if b.level < need {
		wait := time.Duration((need - b.level) / l.flow(b.limit) * float64(time.Second))
		return false, min(max(wait, shortestWait), largestWait)
	}
	low := b.level < pressed*l.depth(b.limit)
	if low && l.draw.Float64() >= l.chance(b, units, now) {
		wait := time.Duration((units - b.pace) / l.paceRate(b.limit) * float64(time.Second))
		return false, min(max(wait, shortestWait), largestWait)
	}
	b.level -= units
	b.admitted += units
	if low {
		b.pace = max(0, b.pace-units)
	}
	return true, 0
}

// paceRate is what this VM may admit a second while the bucket is low.
func (l *Limiter) paceRate(limit Limit) float64 {
	return l.flow(limit) * min(1, l.share()/max(1, l.vms))
}

// share is how much of the rate all VMs together may admit while a bucket is low.
func (l *Limiter) share() float64 {
	if l.heardMany.IsZero() {
		return paceShare
	}
	return paceShareMany
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

// Level returns what is left of a team's bucket and of this VM's pace for it, in units.
func (l *Limiter) Level(team string) (level, pace float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.teams[team]; b != nil {
		return b.level, b.pace
	}
	return 0, 0
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
	accrued := l.flow(b.limit) * passed.Seconds()
	if l.vms == 0 {
		b.at = now
		return
	}
	part := accrued / l.vms
	starting := now.Sub(l.started) < startTime
	for _, p := range l.peers {
		if starting && p.heard.IsZero() {
			// It may have started too. Until they hear each other, startChance bounds what
			// all admit.
			continue
		}
		if now.Sub(p.heard) > silentAfter {
			used := part * p.weight
			if p.weight > 1 && now.Sub(l.heardMany) < handover {
				used = min(used, handoverMargin*b.others*passed.Seconds())
			}
			p.assumed[team] += used
			accrued -= used
		}
	}
	b.level = min(b.level+accrued, l.depth(b.limit))
	pace := l.paceRate(b.limit)
	b.pace = min(b.pace+pace*passed.Seconds(), pace*paceDepth.Seconds())
	b.at = now
}
