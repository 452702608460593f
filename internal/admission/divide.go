package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// divide computes the admitted fractions.
func (c *Controller) divide(p *pool, fresh bool, now time.Time) {
	total := c.collect(p, fresh, now)
	slots := float64(p.room.Slots)
	if slots == 0 || p.cost <= 0 || p.took <= 0 {
		p.near, p.short = p.use() >= nearUse, false
		return
	}
	slotTime := p.took / p.cost
	asked := total * slotTime / slots
	p.near = p.use() >= nearUse || (p.near && asked >= nearUse)
	capacity := p.capacity(slotTime)
	if p.short {
		p.short = p.near && (total > capacity || now.Sub(p.shortSince) < minShortTime)
	} else {
		p.short = p.near && total > capacity && p.underPressure()
	}
	p.setFractions(capacity - min(p.backlog(), maxDrainShare*capacity))
}

// underPressure reports whether requests wait for room: those of engines in vain, others for much of their objective.
func (p *pool) underPressure() bool {
	return p.slowness >= slowAnswers || p.refused != noneRefused
}

// capacity returns the cost per second that may be admitted, if a request takes slotTime of a slot for each second of cost.
func (p *pool) capacity(slotTime float64) float64 {
	slots := float64(p.room.Slots)
	if p.of.Model != "" {
		// Engines also run requests for other models.
		slots -= max(0, p.running-p.meanAdmitted*slotTime)
	}
	return targetUse * p.correction * slots / slotTime
}

// backlog returns the cost per second that must not be admitted for queues to drain in time.
func (p *pool) backlog() float64 {
	return max(0, float64(p.room.InFlight)-p.allowed()) * p.cost / drainTime.Seconds()
}

// allowed returns how many requests may be in flight.
func (p *pool) allowed() float64 {
	queue := queueShare * (p.objective - p.took) / max(p.took, 1e-3)
	return float64(p.room.Slots) * (1 + min(max(queue, minQueue), maxQueue))
}

// use returns how many requests are in flight for each slot.
func (p *pool) use() float64 {
	if p.room.Slots == 0 {
		return 0
	}
	return max(p.inFlight, float64(p.room.InFlight)) / float64(p.room.Slots)
}

// collect sums what all VMs are asked for by class, and returns the total in cost per second.
func (c *Controller) collect(p *pool, fresh bool, now time.Time) (total float64) {
	p.demands = p.demands[:0]
	clear(p.index)
	for class, state := range p.classes {
		own := state.own.current(now)
		if own < negligibleRate && now.Sub(state.own.at) > idleAfter {
			delete(p.classes, class)
			continue
		}
		p.addDemand(class, own)
	}
	peers := 0
	if fresh {
		c.eachPeerRate(p.of, now, func(k key, perSecond float64) {
			if k.kind == offered {
				peers++
				p.addDemand(k.Class, perSecond)
			}
		})
	}
	if peers == 0 && c.vms > 1 {
		// The other VMs are taken to be asked for the same.
		for i := range p.demands {
			p.demands[i].rate *= float64(c.vms)
		}
	}
	for i := range p.demands {
		total += p.demands[i].rate
	}
	return total
}

// admittedByAll returns what all VMs admit, in cost per second.
func (c *Controller) admittedByAll(p *pool, now time.Time) float64 {
	own, others, told := p.admitted.current(now), 0.0, false
	c.eachPeerRate(p.of, now, func(k key, perSecond float64) {
		if k.kind == admitted {
			others += perSecond
			told = true
		}
	})
	if !told {
		return own * float64(c.vms)
	}
	return own + others
}

func (p *pool) addDemand(class Class, perSecond float64) {
	i, known := p.index[class]
	if !known {
		i = len(p.demands)
		p.index[class] = i
		p.demands = append(p.demands, demand{class: class})
	}
	p.demands[i].rate += perSecond
}

// setFractions divides a capacity among the classes while room is short.
func (p *pool) setFractions(capacity float64) {
	clear(p.fractions)
	if !p.short {
		return
	}
	share(p.demands, capacity)
	for start := 0; start < len(p.demands); {
		all := demand{}
		urgency := p.demands[start].class.Urgency
		for ; start < len(p.demands) && p.demands[start].class.Urgency == urgency; start++ {
			d := &p.demands[start]
			all.rate += d.rate
			all.granted += d.granted
			if state := p.classes[d.class]; state != nil {
				state.fraction = d.fraction()
			}
		}
		p.fractions[urgency] = all.fraction()
	}
}

const (
	// goodChance is the admitted fraction from which a request that returns soon is likely to be admitted.
	goodChance = 0.7
	// minRetryAfter, shortRetryAfter and maxRetryAfter bound the time after which rejected requests may return: the least,
	// the least if their chance is not good, and the largest before it is spread.
	minRetryAfter   = 100 * time.Millisecond
	shortRetryAfter = 2 * time.Second
	maxRetryAfter   = 6 * time.Second
)

// retryAfter returns when a rejected request may return. Where its chance is good this is soon. Otherwise room is expected
// once the shortage ends, which has lasted as long as it is expected to go on.
func (p *pool) retryAfter(class *classState, now time.Time) time.Duration {
	delay := minRetryAfter
	if class.fraction < goodChance {
		delay = min(max(shortRetryAfter, now.Sub(p.shortSince)), maxRetryAfter)
	}
	return delay + time.Duration(class.spread(now)*float64(delay))
}

// spread returns a number from 0 to 1 that differs between the moments at which requests are rejected.
func (s *classState) spread(now time.Time) float64 {
	bits := uint64(now.UnixNano()) ^ s.salt
	var b [8]byte
	for i := range b {
		b[i] = byte(bits >> (8 * i))
	}
	return float64(xxhash.Sum64(b[:])%1024) / 1024
}
