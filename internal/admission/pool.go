package admission

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutarch/chestnutarch/internal/assign"
)

const (
	// refreshInterval is how often the fractions of a pool are computed while requests arrive: more often than reports do.
	// quietInterval is how often it is found out whether room is nearly short.
	refreshInterval = 50 * time.Millisecond
	quietInterval   = 250 * time.Millisecond
	// targetUse is the use of the slots up to which work is admitted. Requests arrive at random, so that queues grow long at a
	// higher use.
	targetUse = 0.92
	// nearUse is the use from which VMs tell each other what they are asked for.
	nearUse = 0.7
	// slowAnswers is the part of their objective that answers take on average from which room can be short, slownessWindow the
	// time constant of that average.
	slowAnswers    = 0.5
	slownessWindow = 500 * time.Millisecond
	// minShortTime is the shortest time for which room counts as short: a load near the capacity crosses it many times a second.
	minShortTime = time.Second
	// leastUse is the use below which nothing is rejected.
	leastUse = 0.5
	// minQueue and maxQueue bound the requests that may wait for each slot. Within the bounds, their wait may take the part
	// queueShare of the time that their objective leaves. drainTime is the time in which a longer queue is to be drained.
	minQueue   = 0.1
	maxQueue   = 1.5
	queueShare = 0.25
	drainTime  = 500 * time.Millisecond
	// maxDrainShare is the largest part of the capacity that is withheld to drain queues.
	maxDrainShare = 0.5
	// inFlightWindow is the time constant of the average of the requests in flight, answerWindow that of the time that
	// requests take.
	inFlightWindow = 750 * time.Millisecond
	answerWindow   = 2 * time.Second
	// fasterAnswerWeight multiplies the weight of an answer that took less than the average: waiting only lengthens answers.
	fasterAnswerWeight = 2
	// minAnswerWeight is the least weight of an answer in the average.
	minAnswerWeight = 0.02
	// crowdedWindow is how long the capacity is lowered after a request that comes first has found no slot.
	crowdedWindow = 200 * time.Millisecond
	// noRoomWindow is how long engines count as short after a request has found no slot.
	noRoomWindow = 3 * time.Second
	// minRefusedRate is the least rate of refusals at other VMs that counts, per second.
	minRefusedRate = 0.1
	// correctionRate is the change of the correction per second, minCorrection and maxCorrection bound it.
	correctionRate = 0.15
	minCorrection  = 0.85
	maxCorrection  = 1.5
	// busyUse is the average use of the slots below which the correction grows.
	busyUse = 0.92
)

// pool is the state of a pool.
type pool struct {
	of      Pool
	classes map[Class]*classState
	usedAt  time.Time
	// noRoomAt is when a request of this VM last found no slot, by urgency. refused is the most urgent of the urgencies of
	// which requests have found none lately, here or at other VMs, noneRefused if there is none.
	noRoomAt map[int]time.Time
	refused  int
	// admitted and rejected are what this VM has admitted and rejected, in cost per second. admittedName is the name of the
	// first in reports.
	admitted, rejected rate
	admittedName       string

	refreshedAt time.Time
	// room is the last known room, inFlight and running are the averages of its counts of requests.
	room              assign.Room
	inFlight, running float64
	// took and cost are averages over answers: the time for which a request has its slot, corrected for queues, and its
	// expected cost.
	took, cost float64
	answeredAt time.Time
	// objective is the average objective, zero for streams; slowness is the average part of their objective that answers take.
	objective, slowness float64
	// correction multiplies the capacity that follows from the slots and from took.
	correction float64
	// near means that room is short or nearly so, short that requests are rejected.
	near, short bool
	shortSince  time.Time
	// fractions holds the admitted fraction by urgency while room is short.
	fractions map[int]float64
	// demands are what is asked for by class, index their places by class; meanAdmitted is the average cost per second that
	// all VMs admit.
	demands      []demand
	index        map[Class]int
	meanAdmitted float64
}

// classState is the state of a class of a pool.
type classState struct {
	name     string
	urgency  int
	own      rate
	fraction float64
	// credit is the part of a request that may still be admitted.
	credit float64
	// salt differs between VMs and classes.
	salt uint64
}

func newPool(of Pool, now time.Time) *pool {
	return &pool{of: of, admittedName: key{kind: admitted}.name(of), noRoomAt: make(map[int]time.Time), refused: noneRefused, classes: make(map[Class]*classState), index: make(map[Class]int), fractions: make(map[int]float64), correction: 1, usedAt: now}
}

// newClass returns a class without requests. Its first credit differs between VMs, so that the VMs don't admit their
// requests all at the same time.
func newClass(c Class, of Pool, seed uint64) *classState {
	name := key{offered, c}.name(of)
	salt := hash(name) ^ seed
	return &classState{name: name, urgency: c.Urgency, fraction: 1, credit: float64(salt%1024) / 1024, salt: salt}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

func (p *pool) classOf(c Class, seed uint64) *classState {
	class := p.classes[c]
	if class == nil {
		class = newClass(c, p.of, seed)
		class.fraction = p.fractionOfNew(c)
		p.classes[c] = class
	}
	return class
}

// fractionOfNew returns the admitted fraction of a class of which nothing is known yet.
func (p *pool) fractionOfNew(c Class) float64 {
	if fraction, known := p.fractions[c.Urgency]; p.short && known {
		return fraction
	}
	return 1
}

// decide decides about a request of a class, and takes its credit.
func (p *pool) decide(class *classState, now time.Time) Decision {
	d := Decision{Admitted: true, Short: p.short, Fraction: 1}
	if !p.short {
		if p.refused < class.urgency {
			d.Room = assign.RoomLast
		}
		return d
	}
	if class.fraction >= 1 {
		d.Room = assign.RoomFirst
		return d
	}
	d.Fraction, d.Room = class.fraction, assign.RoomLast
	class.credit = min(class.credit+class.fraction, 2)
	if class.credit >= 1 {
		class.credit--
		return d
	}
	if float64(p.room.InFlight) < leastUse*float64(p.room.Slots) {
		return d
	}
	d.Admitted, d.RetryAfter = false, p.retryAfter(class, now)
	return d
}

// recordAnswer records the time for which an answered request had its slot. With requests waiting for slots, a part of it
// was spent waiting.
func (p *pool) recordAnswer(cost, took, objective float64, now time.Time) {
	weight := 1.0
	if objective > 0 {
		p.slowness += max(minAnswerWeight, 1-decay(now.Sub(p.answeredAt), slownessWindow)) * (took/objective - p.slowness)
	}
	if p.cost > 0 {
		weight = max(minAnswerWeight, 1-decay(now.Sub(p.answeredAt), answerWindow))
	}
	if p.inFlight > 0 {
		took *= p.running / p.inFlight
	}
	p.cost += weight * (cost - p.cost)
	p.objective += weight * (objective - p.objective)
	if took < p.took && p.of.Model == "" {
		weight = min(1, fasterAnswerWeight*weight)
	}
	p.took += weight * (took - p.took)
	p.answeredAt = now
}

// refresh brings the pool up to date if it is time, and reports whether it has become short or has ceased to be so.
func (c *Controller) refresh(p *pool, now time.Time) (changed bool) {
	elapsed := now.Sub(p.refreshedAt)
	if elapsed < refreshInterval || (!p.near && p.of.Model == "" && elapsed < quietInterval) {
		return false
	}
	first := p.refreshedAt.IsZero()
	p.refreshedAt = now
	c.findRefused(p, now)
	if p.of.Model != "" && !p.near && p.refused == noneRefused {
		return false
	}
	p.room = c.room(p.of, now)
	fresh := c.fresh(now)
	if fresh || first {
		weight := 1 - decay(elapsed, inFlightWindow)
		p.inFlight += weight * (float64(p.room.InFlight) - p.inFlight)
		p.running += weight * (float64(p.room.Running) - p.running)
		p.meanAdmitted += weight * (c.admittedByAll(p, now) - p.meanAdmitted)
		p.correct(min(elapsed, time.Second), now)
	}
	before := p.short
	c.divide(p, fresh, now)
	if p.short != before {
		p.shortSince = now
	}
	return p.short != before
}

// noneRefused stands for the urgency of refused requests if there are none.
const noneRefused = math.MaxInt

// findRefused finds the most urgent requests that have found no slot lately.
func (c *Controller) findRefused(p *pool, now time.Time) {
	p.refused = noneRefused
	for urgency, at := range p.noRoomAt {
		if now.Sub(at) <= noRoomWindow {
			p.refused = min(p.refused, urgency)
		}
	}
	c.eachPeerRate(p.of, now, func(k key, perSecond float64) {
		if k.kind == refused && perSecond >= minRefusedRate {
			p.refused = min(p.refused, k.Urgency)
		}
	})
}

// crowded reports whether a request of this VM has found no slot just now.
func (p *pool) crowded(now time.Time) bool {
	for _, at := range p.noRoomAt {
		if now.Sub(at) < crowdedWindow {
			return true
		}
	}
	return false
}

// correct corrects the capacity by what is in flight.
func (p *pool) correct(elapsed time.Duration, now time.Time) {
	if !p.short || p.room.Slots == 0 {
		p.correction += (1 - p.correction) * min(1, elapsed.Seconds())
		return
	}
	slots, step := float64(p.room.Slots), correctionRate*elapsed.Seconds()
	switch {
	case p.inFlight > p.allowed(), p.crowded(now):
		p.correction = max(minCorrection, p.correction-step)
	case p.running < busyUse*slots && p.rejected.current(now) > 0:
		p.correction = min(maxCorrection, p.correction+step)
	}
}
