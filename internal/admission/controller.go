package admission

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxPools and maxNames bound what a Controller keeps.
	maxPools = 1024
	maxNames = 4096
	// idleAfter is how long a pool or a class is kept that nothing was asked of.
	idleAfter = 30 * time.Second
)

// Controller decides which requests of one VM are admitted. It is safe for concurrent use.
type Controller struct {
	room RoomFunc
	// seed differs between VMs.
	seed uint64

	mu      sync.Mutex
	pools   map[Pool]*pool
	sources map[string]*source
	// vms is how many VMs there are, this one included, as of the last report.
	vms int
	// offered holds what was asked for while room was or became short, by the names in reports.
	offered map[string]float64
}

// New returns a Controller of a VM.
func New(vm string, room RoomFunc) *Controller {
	return &Controller{
		room: room, vms: 1, seed: hash(vm),
		pools: make(map[Pool]*pool), sources: make(map[string]*source), offered: make(map[string]float64),
	}
}

// Admit decides about a request that arrives.
func (c *Controller) Admit(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.poolOf(r.Pool, now)
	p.usedAt = now
	class := p.classOf(r.Class, c.seed)
	cost := r.Cost.Seconds()
	class.own.add(cost, now)
	changed := c.refresh(p, now)
	d := p.decide(class, now)
	d.Changed = changed
	if d.Admitted {
		p.admitted.add(cost, now)
	} else {
		p.rejected.add(cost, now)
	}
	if p.near {
		c.addOffered(class.name, cost)
		if d.Admitted {
			c.addOffered(p.admittedName, cost)
		}
	}
	return d
}

// Preview returns what Admit would decide about a request, and has no effects.
func (c *Controller) Preview(r Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Pool]
	if p == nil {
		return Decision{Admitted: true, Fraction: 1}
	}
	copied := newClass(r.Class, r.Pool, c.seed)
	if known := p.classes[r.Class]; known != nil {
		*copied = *known
	} else {
		copied.fraction = p.fractionOfNew(r.Class)
	}
	return p.decide(copied, now)
}

// RecordNoRoom records that a request of a pool found no slot.
func (c *Controller) RecordNoRoom(of Pool, urgency int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolOf(of, now).noRoomAt[urgency] = now
	c.addOffered(key{refused, Class{Urgency: urgency}}.name(of), 1)
}

// RecordAnswer records how long a request had its slot that was answered. objective is the time in which a response is due,
// zero for streams, of which only the first event is.
func (c *Controller) RecordAnswer(of Pool, cost, took, objective time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[of]; p != nil {
		p.recordAnswer(cost.Seconds(), took.Seconds(), objective.Seconds(), now)
	}
}

// Offered returns what this VM has been asked for by class while room was short or nearly so, and what it has admitted, in
// seconds of cost since the start, and the requests that found no slot, by the names in reports.
func (c *Controller) Offered() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.offered)
}

// addOffered adds to a total. A name that would be one too many is not told to other VMs.
func (c *Controller) addOffered(name string, amount float64) {
	if _, known := c.offered[name]; known || len(c.offered) < maxNames {
		c.offered[name] += amount
	}
}

func (c *Controller) poolOf(of Pool, now time.Time) *pool {
	p := c.pools[of]
	if p == nil {
		if len(c.pools) >= maxPools {
			maps.DeleteFunc(c.pools, func(_ Pool, p *pool) bool { return now.Sub(p.usedAt) > idleAfter })
		}
		p = newPool(of, now)
		c.pools[of] = p
	}
	return p
}

// ShortPool is a pool that is asked for more than it can serve in time.
type ShortPool struct {
	Pool
	// Fractions holds the admitted fraction of what is asked for by urgency.
	Fractions map[int]float64
}

// Short returns the pools that are asked for more than they can serve in time. A pool that no request has asked for lately is
// not.
func (c *Controller) Short(now time.Time) []ShortPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ShortPool
	for of, p := range c.pools {
		if p.short && now.Sub(p.usedAt) < minShortTime {
			out = append(out, ShortPool{Pool: of, Fractions: maps.Clone(p.fractions)})
		}
	}
	return out
}

// Fractions returns the admitted fraction of what is asked of a pool by urgency, nil if the pool is not short.
func (c *Controller) Fractions(of Pool) map[int]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[of]; p != nil && p.short {
		return maps.Clone(p.fractions)
	}
	return nil
}
