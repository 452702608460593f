package teamrate

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential average of a team's
	// demand.
	demandTimeConstant = time.Second
	// minReportingShare is the part of the VMs whose reports must be current for the
	// average to represent the demand at all VMs.
	minReportingShare = 0.5
	// startupPeriod is how long a VM admits requests without that average after it first received
	// a list of peers. startupProbability is the probability of admission meanwhile, which
	// applies while a team's bucket is low. If callers send several times a team's rate through
	// VMs that have all just started, this probability keeps what the VMs admit within the
	// tolerance until they receive each other's reports.
	startupPeriod      = 1500 * time.Millisecond
	startupProbability = 0.4
	// initialRefill is the time for which a new bucket is credited with refill: an empty
	// bucket would refuse all but the smallest requests.
	initialRefill = 200 * time.Millisecond
)

// demandRate is an average demand in units per second.
type demandRate struct {
	perSecond float64
	updated   time.Time
}

// add adds units that were requested in a period before now.
func (d *demandRate) add(units float64, period time.Duration, now time.Time) {
	d.perSecond = d.decayed(now) + units/demandTimeConstant.Seconds()*decayWithin(period, demandTimeConstant)
	d.updated = now
}

// decayWithin returns what is left on average, at the end of a period, of units that were added evenly
// during it to an exponential average.
func decayWithin(period, timeConstant time.Duration) float64 {
	if period <= 0 {
		return 1
	}
	x := period.Seconds() / timeConstant.Seconds()
	return (1 - math.Exp(-x)) / x
}

func (d *demandRate) decayed(now time.Time) float64 {
	return d.perSecond * math.Exp(-max(0, now.Sub(d.updated).Seconds())/demandTimeConstant.Seconds())
}

// recordPeerDemand adds the demand that a peer received in the period since its last report.
func (l *Limiter) recordPeerDemand(p *peer, demand map[string]float64, period time.Duration, now time.Time) {
	for team, total := range demand {
		if b := l.teams[team]; b != nil {
			b.peerDemand.add(total-p.demand[team], period, now)
		}
		p.demand[team] = total
	}
}

// totalDemand estimates a team's demand at all VMs, in units per second. ok is false while
// too few VMs report, or have not reported for long enough.
func (l *Limiter) totalDemand(b *bucket, now time.Time) (perSecond float64, ok bool) {
	reporting, lastJoined := 1.0, time.Time{}
	for _, p := range l.peers {
		if p.firstReport.IsZero() || now.Sub(p.lastReport) > reportTimeout {
			continue
		}
		reporting += p.weight
		if p.firstReport.After(lastJoined) {
			lastJoined = p.firstReport
		}
	}
	observed := now.Sub(lastJoined)
	if reporting < minReportingShare*l.vms || lastJoined.IsZero() || observed < minDemandObservation {
		return 0, false
	}
	// An average that began when the last of the reporting VMs first reported has reached only
	// this share of the demand so far.
	reachedShare := 1 - math.Exp(-observed.Seconds()/demandTimeConstant.Seconds())
	return (b.demand.decayed(now) + l.peerDemand(b, now)) / reachedShare * l.vms / reporting, true
}

// peerDemand is the demand at the other VMs. While reports are late, it is taken to be as it was: a demand
// that seemed to fall would let this VM admit a larger part of it.
func (l *Limiter) peerDemand(b *bucket, now time.Time) float64 {
	if due := l.lastReport.Add(exchangePeriod); now.After(due) {
		now = due
	}
	return b.peerDemand.decayed(now)
}

// minDemandObservation is the shortest time over which reports give a usable demand rate.
const minDemandObservation = 300 * time.Millisecond

// admitProbability returns the probability with which a request is admitted while a team's
// bucket is low.
//
// The units that this VM may admit by its local rate (localLevel) are too few for a large
// request. They are too few for any request if the callers of a team reach each of hundreds of
// VMs only every few seconds. With them alone, nearly all requests of a team far below its rate
// would be refused. Each VM therefore admits the same part of the requests that it receives:
// the part of the demand at all VMs that the rate allows.
func (l *Limiter) admitProbability(b *bucket, units float64, now time.Time) float64 {
	localProbability := max(0, b.localLevel) / units
	if perSecond, ok := l.totalDemand(b, now); ok {
		return max(localProbability, min(1, l.overcommitFactor()*l.refillRate(b.limit)/max(perSecond, 1)))
	}
	if now.Sub(l.started) < startupPeriod {
		return max(localProbability, startupProbability)
	}
	return localProbability
}
