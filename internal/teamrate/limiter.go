package teamrate

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// exchangePeriod is the usual time between two reports of a VM.
	exchangePeriod = 250 * time.Millisecond
	// reportTimeout is how long a VM may go without a report before it is assumed to use
	// its equal part: nearly three report intervals. Until then both sides of a partition
	// use the whole rate. lateAfter is the same for a VM that reports for many.
	reportTimeout = 700 * time.Millisecond
	// lowFraction is the part of a full bucket below which a VM limits itself to its local
	// rate. Below it a team is near its rate, and what all VMs admit before they receive
	// each other's reports would exceed the rate.
	lowFraction = 0.6
	// overcommit is how much of the rate a VM may use while a bucket is low, as a multiple
	// of its equal part: callers are never spread quite evenly. overcommitAggregated applies
	// where some VMs report for many: reports then take up to three rounds, so all VMs
	// together may run ahead by less.
	overcommit           = 1.6
	overcommitAggregated = 1.15
	// localBurst is how far a VM may run ahead of its local rate: about one report
	// interval.
	localBurst = 300 * time.Millisecond
	// toleranceBurstShare and toleranceRefillShare are the parts of the tolerated excess
	// that are added to the capacity of every bucket and to its refill in each window. The
	// tolerance exists because many VMs cannot count as exactly as one. The part of it that
	// late reports do not use up (in the tests, seven VMs overshoot by up to a tenth of a
	// window) goes to the team, so that requests within a small rate are not refused
	// needlessly.
	toleranceBurstShare  = 0.15
	toleranceRefillShare = 0.4
	// takeoverPeriod is how long after the last report for many VMs those VMs are assumed
	// to go on as before: the time in which another VM replaces the one that reported for
	// them.
	takeoverPeriod = 2 * time.Second
	// takeoverMargin is the factor by which they may then exceed their previous usage.
	takeoverMargin = 1.3
	// usageTimeConstant is the time constant of the exponential average of the other VMs'
	// usage.
	usageTimeConstant = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay that is returned to callers.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Limit is one team's rate limit.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate, Burst float64
}

// Tolerance is the excess over a team's rate and burst that the platform tolerates.
type Tolerance struct {
	// Units may be used beyond rate and burst in any Window.
	Units  float64
	Window time.Duration
}

// extraRefillRate returns the part of the tolerance that is added to the refill of every
// bucket, in units per second.
func (t Tolerance) extraRefillRate() float64 {
	if t.Window <= 0 {
		return 0
	}
	return toleranceRefillShare * t.Units / t.Window.Seconds()
}

// Limiter holds one VM's copy of all teams' buckets. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	tolerance Tolerance
	teams     map[string]*bucket
	peers     map[string]*peer
	// silent holds the peers without a report within reportTimeout, as of the last look.
	// nextSilence is the earliest time at which a further peer may have become silent.
	silent      []*peer
	nextSilence time.Time
	// vms is how many VMs share the rates, zero while that is unknown. Nothing is admitted
	// then, because each of many VMs that start at once would use the whole rate.
	vms float64
	// lastReport is when the last report arrived.
	lastReport time.Time
	// lastAggregatedReport is when the last report of a VM that reports for many arrived.
	lastAggregatedReport time.Time
	// started is when the VM first received a list of peers.
	started time.Time
	random  *rand.Rand
}

type bucket struct {
	limit      Limit
	level      float64
	refilledAt time.Time
	// admitted counts the units that this VM has admitted since it started. It never decreases:
	// refunded holds the refunds that the next admissions are counted against.
	admitted, refunded float64
	// peerUsage is the average usage of the other VMs in units per second, as of
	// peerUsageAt.
	peerUsage   float64
	peerUsageAt time.Time
	// localLevel is the number of units that this VM may admit while the bucket is low.
	localLevel float64
	// recent is what this VM has admitted while reports were late.
	recent recentUsage
	// demand is the average demand at this VM, peerDemand at the others. localDemand counts the units
	// requested at this VM since it started, admitted or not.
	demand, peerDemand demandRate
	localDemand        float64
}

// New returns a Limiter without teams. incarnation identifies this VM's process.
func New(t Tolerance, incarnation int64) *Limiter {
	return &Limiter{tolerance: t, teams: make(map[string]*bucket), peers: make(map[string]*peer),
		random: rand.New(rand.NewPCG(uint64(incarnation), 0))}
}

// SetTolerance replaces the tolerance.
func (l *Limiter) SetTolerance(t Tolerance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tolerance = t
}

// SetLimits replaces the limits of all teams. A team that is not in limits is not limited.
func (l *Limiter) SetLimits(limits map[string]Limit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateSilent(now)
	for team, limit := range limits {
		b := l.teams[team]
		if b == nil {
			// Nearly empty: what was admitted before this VM started is unknown, and if all
			// VMs have just started, the contents of their buckets would add up.
			b = &bucket{refilledAt: now, peerUsageAt: now, level: initialRefill.Seconds() * l.refillRate(limit)}
			l.teams[team] = b
		}
		l.refill(team, b, now)
		b.limit = limit
		b.level = min(b.level, l.capacity(limit))
	}
	for team, b := range l.teams {
		if _, ok := limits[team]; !ok {
			b.limit = Limit{}
		}
	}
}

// refillRate is the refill of a bucket in units per second.
func (l *Limiter) refillRate(limit Limit) float64 { return limit.Rate + l.tolerance.extraRefillRate() }

func (l *Limiter) capacity(limit Limit) float64 {
	return limit.Burst + toleranceBurstShare*l.tolerance.Units
}

// credit adds units to a team's bucket, or takes them from it.
func (l *Limiter) credit(team string, units float64, now time.Time) {
	b := l.teams[team]
	if b == nil {
		return
	}
	l.refill(team, b, now)
	b.level = max(min(b.level+units, l.capacity(b.limit)), -l.maxDebt(b.limit))
}

// maxDebt is the largest debt of a bucket: what was admitted before the present window has no part in
// what may be admitted now.
func (l *Limiter) maxDebt(limit Limit) float64 {
	if l.tolerance.Window <= 0 {
		return math.Inf(1)
	}
	return l.refillRate(limit) * l.tolerance.Window.Seconds()
}

// recordPeerUsage adds units that the other VMs have used in a period to their average usage.
func (b *bucket) recordPeerUsage(units float64, period time.Duration, now time.Time) {
	b.peerUsage = b.peerUsage*math.Exp(-now.Sub(b.peerUsageAt).Seconds()/usageTimeConstant.Seconds()) +
		units/usageTimeConstant.Seconds()*decayWithin(period, usageTimeConstant)
	b.peerUsageAt = now
}

// Admitted returns the units that this VM has admitted by team since it started. They never decrease.
func (l *Limiter) Admitted() map[string]float64 {
	return l.totals(func(b *bucket) float64 { return b.admitted })
}

// Demand returns the units that were requested at this VM by team since it started, admitted
// or not.
func (l *Limiter) Demand() map[string]float64 {
	return l.totals(func(b *bucket) float64 { return b.localDemand })
}

func (l *Limiter) totals(value func(*bucket) float64) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.teams))
	for team, b := range l.teams {
		out[team] = value(b)
	}
	return out
}

// Admit admits a request of the given units, or returns the delay after which enough units
// are expected. A request larger than the bucket is admitted when the bucket is full. One that is larger than what the team
// may have in a window is never admitted, and the delay is zero.
func (l *Limiter) Admit(team string, units float64, now time.Time) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil || b.limit.Rate <= 0 {
		return true, 0
	}
	l.updateSilent(now)
	l.refill(team, b, now)
	b.localDemand += units
	b.demand.add(units, 0, now)
	if units > l.largest(b.limit) {
		return false, 0
	}
	need := min(units, l.capacity(b.limit))
	if b.level < need {
		return false, l.waitForLevel(b, need)
	}
	low := l.isLow(b)
	if low && l.random.Float64() >= l.admitProbability(b, units, now) {
		return false, l.waitForLocal(b, units)
	}
	b.level -= units
	b.countAdmitted(units)
	b.recent.add(units, b.demand.decayed(now), l.lateVMs(now) > 0, now)
	l.assumeUsageOfLate(team, b, now)
	if low {
		// A debt of more than one request would outlast the time for which the bucket is low.
		b.localLevel = max(b.localLevel-units, -units)
	}
	return true, 0
}

// largest is what a team may have in a window, in units.
func (l *Limiter) largest(limit Limit) float64 {
	return limit.Rate*l.tolerance.Window.Seconds() + limit.Burst + l.tolerance.Units
}

// isLow reports whether a bucket is so low that this VM admits only a part of the requests.
func (l *Limiter) isLow(b *bucket) bool { return b.level < lowFraction*l.capacity(b.limit) }

// waitForLevel returns the retry delay of a request that needs more units than the bucket holds.
func (l *Limiter) waitForLevel(b *bucket, need float64) time.Duration {
	wait := time.Duration((need - b.level) / l.refillRate(b.limit) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// waitForLocal returns the retry delay of a request that this VM does not admit while the bucket is low.
func (l *Limiter) waitForLocal(b *bucket, units float64) time.Duration {
	wait := time.Duration((units - b.localLevel) / l.localRate(b.limit) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// localRate is what this VM may admit while the bucket is low, in units per second.
func (l *Limiter) localRate(limit Limit) float64 {
	return l.refillRate(limit) * min(1, l.overcommitFactor()/max(1, l.vms))
}

// overcommitFactor is how much of the rate all VMs together may admit while a bucket is
// low.
func (l *Limiter) overcommitFactor() float64 {
	if l.lastAggregatedReport.IsZero() {
		return overcommit
	}
	return overcommitAggregated
}

// Refund refunds the units of an admitted request that did not run.
func (l *Limiter) Refund(team string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil {
		return
	}
	b.refunded += units
	b.level = min(b.level+units, l.capacity(b.limit))
}

func (b *bucket) countAdmitted(units float64) {
	covered := min(units, b.refunded)
	b.refunded -= covered
	b.admitted += units - covered
}

// State is what a decision on a team's request rests on.
type State struct {
	// Level is what is left of the team's bucket, and Local how much this VM may still admit while the
	// bucket is low, in units.
	Level, Local float64
	// LateVMs is the number of VMs whose usage is assumed, since reports of them are late. Assumed is that
	// usage in units.
	LateVMs int
	Assumed float64
	// OldestReport is the time since the oldest of the last reports of other VMs.
	OldestReport time.Duration
}

// State returns the state of a team's rate, the zero value if the team is unknown.
func (l *Limiter) State(team string, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.teams[team]
	if b == nil {
		return State{}
	}
	out := State{Level: b.level, Local: b.localLevel, LateVMs: int(l.lateVMs(now))}
	for _, p := range l.peers {
		out.Assumed += p.assumedUsage[team]
		if !p.lastReport.IsZero() {
			out.OldestReport = max(out.OldestReport, now.Sub(p.lastReport))
		}
	}
	return out
}

func (l *Limiter) refillAll(now time.Time) {
	for team, b := range l.teams {
		l.refill(team, b, now)
	}
}

// refill adds what has accrued since the last refill, less the equal parts of the VMs that
// have stopped reporting.
func (l *Limiter) refill(team string, b *bucket, now time.Time) {
	l.refillWith(b, now, func(p *peer, used float64) { p.assumedUsage[team] += used })
}

// refillWith is refill, which calls assume with what a VM that has stopped reporting is assumed to have used.
func (l *Limiter) refillWith(b *bucket, now time.Time, assume func(p *peer, used float64)) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	accrued := l.refillRate(b.limit) * elapsed.Seconds()
	if l.vms == 0 {
		b.refilledAt = now
		return
	}
	equalShare := accrued / l.vms
	starting := now.Sub(l.started) < startupPeriod
	for _, p := range l.silent {
		if starting && p.lastReport.IsZero() {
			// The peer may have started at the same time. Until the VMs receive each
			// other's reports, startupProbability bounds what all of them admit.
			continue
		}
		used := equalShare * p.silentVMs(now)
		if p.weight > 1 && p.lateVMs == 0 && now.Sub(l.lastAggregatedReport) < takeoverPeriod {
			used = min(used, takeoverMargin*b.peerUsage*elapsed.Seconds())
		}
		assume(p, used)
		accrued -= used
	}
	b.level = min(b.level+accrued, l.capacity(b.limit))
	rate := l.localRate(b.limit)
	// Nothing is saved up while the bucket is empty, or all VMs would admit it at once afterwards.
	if b.level > 0 || b.localLevel < 0 {
		b.localLevel = min(b.localLevel+rate*elapsed.Seconds(), rate*localBurst.Seconds())
	}
	b.refilledAt = now
}
