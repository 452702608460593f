package teamrate

import (
	"math"
	"time"
)

const (
	// askedMemory is the time over which what a team asks for is averaged.
	askedMemory = time.Second
	// leastHeard is the part of the VMs that has to be heard for the average to tell what
	// all are asked for.
	leastHeard = 0.5
	// startTime is how long after its start a VM does without that, and startChance the
	// chance of a request meanwhile. With it, several times a team's rate at all VMs at
	// once stays inside the tolerance until VMs hear each other.
	startTime   = 1500 * time.Millisecond
	startChance = 0.4
	// startLevel is for how long a rate has flowed into a bucket when a VM starts: a bucket
	// that is empty refuses all but the smallest requests.
	startLevel = 200 * time.Millisecond
)

// asking is what a team asks of all VMs that are heard, in units a second.
type asking struct {
	perSecond float64
	at        time.Time
}

func (a *asking) add(units float64, now time.Time) {
	a.perSecond = a.decayed(now) + units/askedMemory.Seconds()
	a.at = now
}

func (a *asking) decayed(now time.Time) float64 {
	return a.perSecond * math.Exp(-now.Sub(a.at).Seconds()/askedMemory.Seconds())
}

// noteAsked takes in what a peer was asked for since its last report.
func (l *Limiter) noteAsked(p *peer, asked map[string]float64, now time.Time) {
	for team, total := range asked {
		if b := l.teams[team]; b != nil {
			b.asked.add(total-p.asked[team], now)
		}
		p.asked[team] = total
	}
}

// asks returns what a team asks of all VMs a second; ok is false while too few of them are
// heard, or not for long enough.
func (l *Limiter) asks(b *bucket, now time.Time) (perSecond float64, ok bool) {
	heard, since := 1.0, time.Time{}
	for _, p := range l.peers {
		if p.since.IsZero() || now.Sub(p.heard) > silentAfter {
			continue
		}
		heard += p.weight
		if p.since.After(since) {
			since = p.since
		}
	}
	known := now.Sub(since)
	if heard < leastHeard*l.vms || since.IsZero() || known < reportTime {
		return 0, false
	}
	// The average began when the last of them was first heard.
	begun := 1 - math.Exp(-known.Seconds()/askedMemory.Seconds())
	return b.asked.decayed(now) / begun * l.vms / heard, true
}

// reportTime is the least time in which what VMs are asked for tells a pace.
const reportTime = 300 * time.Millisecond

// chance is the chance with which a request is admitted while a team's bucket is low.
//
// A VM's own pace does not hold a large request, nor any request where callers come to one VM
// of hundreds every few seconds: it would refuse nearly all of a team that is far below its
// rate. So each VM admits the part of what is asked of all that the rate allows.
func (l *Limiter) chance(b *bucket, units float64, now time.Time) float64 {
	paced := b.pace / units
	if perSecond, ok := l.asks(b, now); ok {
		return max(paced, min(1, l.share()*l.flow(b.limit)/max(perSecond, 1)))
	}
	if now.Sub(l.started) < startTime {
		return max(paced, startChance)
	}
	return paced
}
