package concurrency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simSlots, simWaiting = 8, 4
	simService           = 50 * time.Millisecond
	// simReport is the age of what an issuer knows of the requests in flight.
	simReport = 500 * time.Millisecond
	simStep   = time.Millisecond
)

// simUpstream is a brittle upstream, with the limiter of the VM that issues its permits.
type simUpstream struct {
	limiter *Limiter
	// arrivals holds when requests arrive that have a permit, ends when those that run end.
	arrivals, ends map[Permit]time.Time
	// history holds the number of requests in flight in the last simReport, oldest first.
	history   []int
	waiting   int
	rejected  []time.Time
	downUntil time.Time
	falls     int
	served    int
}

func newSimUpstream() *simUpstream {
	return &simUpstream{limiter: NewLimiter(), waiting: simWaiting, arrivals: make(map[Permit]time.Time), ends: make(map[Permit]time.Time)}
}

// step runs an upstream for simStep: requests arrive, are run or rejected, and end.
func (u *simUpstream) step(now time.Time, maxRejections int) {
	for p, end := range u.ends {
		if !now.Before(end) {
			delete(u.ends, p)
			u.served++
			u.sent(u.limiter.Release(p, false, now), now)
		}
	}
	for p, arrival := range u.arrivals {
		if now.Before(arrival) {
			continue
		}
		delete(u.arrivals, p)
		if now.Before(u.downUntil) || len(u.ends) >= simSlots+u.waiting {
			u.reject(now, maxRejections)
			u.sent(u.limiter.Release(p, true, now), now)
			continue
		}
		u.ends[p] = now.Add(simService + time.Duration(max(0, len(u.ends)+1-simSlots))*simService/simSlots)
	}
	u.history = append(u.history, len(u.ends))
	u.history = u.history[max(0, len(u.history)-int(simReport/simStep)):]
}

func (u *simUpstream) reject(now time.Time, maxRejections int) {
	recent := []time.Time{now}
	for _, at := range u.rejected {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	u.rejected = recent
	if len(recent) > maxRejections && !now.Before(u.downUntil) {
		u.falls++
		u.rejected, u.downUntil = nil, now.Add(2*time.Second)
		clear(u.ends)
	}
}

// sent has requests arrive that were granted a permit, after the way to their VM and from there.
func (u *simUpstream) sent(granted []Permit, now time.Time) {
	for i, p := range granted {
		u.arrivals[p] = now.Add(time.Duration(2+i%7) * time.Millisecond)
	}
}

// Hundreds of VMs that each know little of the others' requests must not push a brittle upstream over.
func TestFleetsDoNotPushBrittleUpstreamsOver(t *testing.T) {
	for _, vms := range []int{6, 65, 295, 985} {
		for _, maxRejections := range []int{1, 5, 20} {
			t.Run(fmt.Sprintf("%d VMs, %d rejections", vms, maxRejections), func(t *testing.T) {
				t.Parallel()
				random := rand.New(rand.NewPCG(uint64(vms), uint64(maxRejections)))
				upstreams := make([]*simUpstream, 20)
				for i := range upstreams {
					upstreams[i] = newSimUpstream()
				}
				const length = 20 * time.Second
				capacity := float64(simSlots) / simService.Seconds()
				number, now := uint64(0), start
				for ; now.Before(start.Add(length)); now = now.Add(simStep) {
					elapsed := now.Sub(start)
					for _, u := range upstreams {
						if elapsed == 5*time.Second {
							u.waiting = simWaiting / 2
						}
						if elapsed == 10*time.Second {
							// The VM that issues the permits has stopped.
							u.limiter = NewLimiter()
						}
						u.step(now, maxRejections)
						for range poisson(random, 4*capacity*simStep.Seconds()) {
							number++
							a := Ask{Permit: Permit{VM: fmt.Sprint(random.IntN(vms)), Incarnation: 1, Number: number}, MaxWait: 250 * time.Millisecond, TimeLeft: 5 * time.Second}
							known := Upstream{Slots: simSlots, InFlight: u.history[0], MaxRejections: maxRejections, KnownFor: elapsed}
							if o, _ := u.limiter.Take(a, known, now); o == Granted {
								u.sent([]Permit{a.Permit}, now)
							}
						}
						u.sent(u.limiter.Advance(now), now)
					}
				}
				falls, served := 0, 0
				for _, u := range upstreams {
					falls += u.falls
					served += u.served
				}
				t.Logf("%d falls, %.2f of what the upstreams can serve", falls, float64(served)/(capacity*length.Seconds()*float64(len(upstreams))))
				require.LessOrEqual(t, falls, 2+len(upstreams)/10)
				require.GreaterOrEqual(t, float64(served), 0.8*capacity*length.Seconds()*float64(len(upstreams)))
			})
		}
	}
}

// poisson returns how many events of a rate occur.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for t := random.ExpFloat64(); t < mean; t += random.ExpFloat64() {
		n++
	}
	return n
}
