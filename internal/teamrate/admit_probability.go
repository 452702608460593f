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

// demandRate is the average demand of a team at this VM and at all VMs that report to it, in
// units per second.
type demandRate struct {
	perSecond float64
	updated   time.Time
}

func (d *demandRate) add(units float64, now time.Time) {
	d.perSecond = d.decayed(now) + units/demandTimeConstant.Seconds()
	d.updated = now
}

func (d *demandRate) decayed(now time.Time) float64 {
	return d.perSecond * math.Exp(-now.Sub(d.updated).Seconds()/demandTimeConstant.Seconds())
}

// recordPeerDemand adds the demand that a peer received since its last report.
func (l *Limiter) recordPeerDemand(p *peer, demand map[string]float64, now time.Time) {
	for team, total := range demand {
		if b := l.teams[team]; b != nil {
			b.demand.add(total-p.demand[team], now)
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
	return b.demand.decayed(now) / reachedShare * l.vms / reporting, true
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
	localProbability := b.localLevel / units
	if perSecond, ok := l.totalDemand(b, now); ok {
		return max(localProbability, min(1, l.overcommitFactor()*l.refillRate(b.limit)/max(perSecond, 1)))
	}
	if now.Sub(l.started) < startupPeriod {
		return max(localProbability, startupProbability)
	}
	return localProbability
}
