package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

const (
	// collectRetry is the unit of the pause after a collision with another
	// collector. The low bits of the VM's next sequence number choose a multiple of
	// 1 to collectRetrySpread, so that two VMs do not collide again and again.
	collectRetry       = 5 * time.Millisecond
	collectRetrySpread = 8
	// smallCollectionFactor is how many times the missing amount the other VMs must
	// be estimated to have before a collection starts for a small request.
	smallCollectionFactor = 4
	// collectRepeatPause is the pause before the lenders are asked again for tokens
	// accrued meanwhile.
	collectRepeatPause = 20 * time.Millisecond
	// collectCooldown is the minimum time between the end of a collection that found
	// too little and the start of the next one.
	collectCooldown = 100 * time.Millisecond
)

// collection gathers the tokens for one request from several lenders. All VMs ask
// lenders in the order of VM IDs, and pause at a lender that another collector has
// reached first. Without the fixed order, two large requests could hold half of the
// tokens each and both be refused, although there are enough tokens for one of them.
type collection struct {
	request uint64
	// currentLender is the VM ID of the lender that was asked last.
	currentLender string
	// pausedUntil is set after a collision with another collector, or while waiting
	// for further accrual. It is zero if the collection is not paused.
	pausedUntil time.Duration
	// allAsked means that every lender was asked.
	allAsked bool
}

// tryCollection starts a collection for the first request in the queue if it is
// worthwhile. It returns false if the request should be refused instead: the caller
// soon retries a small request, and under a load of several times the rate every small
// request would ask every VM.
func (m *Machine) tryCollection(now clock.Reading, a *account, head queuedRequest, missing int64) bool {
	if a.isSmall(head.amount) && m.estimateElsewhere(now, a) < smallCollectionFactor*missing {
		return false
	}
	if now.Mono < a.nextCollection {
		return a.nextCollection < head.deadline
	}
	m.beginCollection(now, a, head)
	return true
}

// isSmall reports whether an amount in nano-tokens fits one slot's share of the burst.
func (a *account) isSmall(amount int64) bool {
	return amount <= a.burstShare(UnitsPerSlot)
}

// beginCollection starts a collection for the first request in the queue, and extends
// the deadline of a large request to MaxCollect after its arrival.
func (m *Machine) beginCollection(now clock.Reading, a *account, head queuedRequest) {
	m.stats.Collections++
	if !a.isSmall(head.amount) {
		a.queue[0].deadline = head.since + m.cfg.MaxCollect
	}
	a.collection = &collection{request: head.request}
	m.collectNext(now, a)
}

// collectNext asks the next lender in the order of VM IDs.
func (m *Machine) collectNext(now clock.Reading, a *account) {
	c := a.collection
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		if vm <= c.currentLender || !m.peers[vm].Alive {
			continue
		}
		c.currentLender = vm
		missing := a.queue[0].amount - a.bucket.Level(now.Mono)
		m.sendAsk(now, a, vm, Ask{Units: a.unitsForAmount(missing), Balance: missing, Collect: true})
		return
	}
	c.allAsked = true
}

// continueCollection asks the next lender after an answer, or pauses if another
// collector has the lender's tokens.
func (m *Machine) continueCollection(now clock.Reading, a *account, msg Answer) {
	c := a.collection
	if c == nil || len(a.queue) == 0 || c.pausedUntil != 0 {
		return
	}
	if msg.Busy {
		m.pauseCollection(now, a)
		return
	}
	if c.allAsked || a.bucket.Level(now.Mono) >= a.queue[0].amount {
		return
	}
	m.collectNext(now, a)
}

// pauseCollection returns everything collected, so that the other collector can
// obtain it.
func (m *Machine) pauseCollection(now clock.Reading, a *account) {
	m.returnCollected(now, a)
	a.collection.pausedUntil = now.Mono + collectRetry*time.Duration(1+m.nextNumber()%collectRetrySpread)
	a.collection.currentLender = ""
}

// collectionTick continues the collection after a pause or a missing answer, and
// finishes it after every lender was asked.
func (m *Machine) collectionTick(now clock.Reading, a *account) {
	c := a.collection
	if c == nil || len(a.queue) == 0 {
		return
	}
	switch {
	case c.pausedUntil != 0 && now.Mono >= c.pausedUntil:
		c.pausedUntil, c.currentLender, c.allAsked = 0, "", false
		m.collectNext(now, a)
	case c.pausedUntil != 0 || m.hasPendingAsks(now, a):
	case !c.allAsked:
		m.collectNext(now, a)
	default:
		m.finishCollection(now, a)
	}
}

// finishCollection is called after every lender was asked and the balance does not
// cover the request. If the missing tokens can accrue before the deadline, at this VM
// or at the lenders, it keeps what was collected; the lenders are then asked again.
// Otherwise it refuses the request.
func (m *Machine) finishCollection(now clock.Reading, a *account) {
	head := a.queue[0]
	if wait, possible := a.bucket.Wait(now.Mono, head.amount); possible && now.Mono+wait < head.deadline {
		return
	}
	missing := head.amount - a.bucket.Level(now.Mono)
	timeLeft := max(head.deadline-now.Mono-collectRepeatPause, 0)
	if missing <= mulDiv(a.limit.Rate*NanoPerToken, int64(timeLeft), int64(time.Second)) {
		a.collection.pausedUntil = now.Mono + collectRepeatPause
		return
	}
	a.nextCollection = now.Mono + collectCooldown
	cause := m.shortageCause(now, a, head.amount)
	retryAfter := m.retryAfter(now, a, head.amount)
	m.popHead(now, a)
	m.refuse(head.request, head.amount/NanoPerToken, cause, retryAfter)
}

// endCollection returns what was collected, after the request was admitted or refused.
func (m *Machine) endCollection(now clock.Reading, a *account) {
	if a.collection == nil {
		return
	}
	a.collection = nil
	m.returnCollected(now, a)
}

func (m *Machine) returnCollected(now clock.Reading, a *account) {
	for _, number := range a.borrowed.sortedLoanNumbers() {
		if a.borrowed.loans[number].collect {
			m.returnLoan(now, a, number)
		}
	}
}

// probe starts a collection although the estimates are below the missing amount, if
// the last answers are old enough for the lenders' shares of the rate to have accrued
// that amount by now. collectCooldown limits how often it does so, because under a load
// of several times the rate the missing amount is never available.
func (m *Machine) probe(now clock.Reading, a *account, head queuedRequest, missing int64) bool {
	if now.Mono < a.nextCollection {
		return false
	}
	available := int64(0)
	for vm, view := range a.lenders {
		if !m.peers[vm].Alive {
			continue
		}
		units := view.slots * UnitsPerSlot
		rate := mulDiv(a.limit.Rate*NanoPerToken, units, Units)
		accrued := mulDiv(rate, int64(now.Mono-view.answeredAt), int64(time.Second))
		available += min(view.balance+accrued, a.burstShare(units))
	}
	if available < missing {
		return false
	}
	m.beginCollection(now, a, head)
	return true
}
