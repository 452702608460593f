package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

const (
	// collectRetry is the pause after another collector was in the way. It
	// differs between VMs by their numbers' low bits, so that two do not meet
	// again and again.
	collectRetry = 5 * time.Millisecond
	retrySpread  = 8
	// plenty is how many times the missing amount the others must seem to have
	// for a small request to be collected for.
	plenty = 4
	// collectAgain is when the lenders are asked again for what accrued meanwhile.
	collectAgain = 20 * time.Millisecond
	// collectPause is the least time between a collection that found too little
	// and the next one.
	collectPause = 100 * time.Millisecond
)

// collection gathers the tokens for one request from several lenders. All VMs
// ask in the order of VM IDs and stop where another collector was before them.
// Without the fixed order two large requests could hold half of the tokens each
// and both be refused, although there was enough for one.
type collection struct {
	request uint64
	// order is the ID of the lender that is being asked.
	order string
	// pausedUntil is set after another collector was in the way, or until more
	// has accrued.
	pausedUntil time.Duration
	// complete means that every lender was asked.
	complete bool
}

// startCollection asks the first lender, and gives the request more time. It
// returns false if the request is not worth it: a small one is soon sent again,
// and under several times the rate every one of them would ask every VM.
func (m *Machine) startCollection(now clock.Reading, a *account, head waiting, missing int64) bool {
	if a.isSmall(head.amount) && m.estimateElsewhere(now, a) < plenty*missing {
		return false
	}
	if now.Mono < a.nextCollection {
		return a.nextCollection < head.deadline
	}
	m.collectFor(now, a, head)
	return true
}

// isSmall reports whether an amount fits one slot's part of the burst.
func (a *account) isSmall(amount int64) bool {
	return amount <= a.capOf(UnitsPerSlot)
}

// collectFor begins a collection for the first request in the queue.
func (m *Machine) collectFor(now clock.Reading, a *account, head waiting) {
	m.stats.Collections++
	if !a.isSmall(head.amount) {
		a.queue[0].deadline = head.since + m.cfg.MaxCollect
	}
	a.collect = &collection{request: head.request}
	m.collectNext(now, a)
}

// collectNext asks the next lender in the order.
func (m *Machine) collectNext(now clock.Reading, a *account) {
	c := a.collect
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		if vm <= c.order || !m.peers[vm].Heard {
			continue
		}
		c.order = vm
		missing := a.queue[0].amount - a.bucket.Level(now.Mono)
		m.ask(now, a, vm, Ask{Units: a.unitsFor(missing), Balance: missing, Collect: true})
		return
	}
	c.complete = true
}

// continueCollection goes on after an answer.
func (m *Machine) continueCollection(now clock.Reading, a *account, msg Answer) {
	c := a.collect
	if c == nil || len(a.queue) == 0 || c.pausedUntil != 0 {
		return
	}
	if msg.Busy {
		m.pauseCollection(now, a)
		return
	}
	if c.complete || a.bucket.Level(now.Mono) >= a.queue[0].amount {
		return
	}
	m.collectNext(now, a)
}

// pauseCollection gives everything back, so that the other collector gets it.
func (m *Machine) pauseCollection(now clock.Reading, a *account) {
	m.returnCollected(now, a)
	a.collect.pausedUntil = now.Mono + collectRetry*time.Duration(1+m.nextNumber()%retrySpread)
	a.collect.order = ""
}

// collectionTick goes on when a pause is over or an answer did not come, and
// ends a collection that found too little.
func (m *Machine) collectionTick(now clock.Reading, a *account) {
	c := a.collect
	if c == nil || len(a.queue) == 0 {
		return
	}
	switch {
	case c.pausedUntil != 0 && now.Mono >= c.pausedUntil:
		c.pausedUntil, c.order, c.complete = 0, "", false
		m.collectNext(now, a)
	case c.pausedUntil != 0 || m.asksUnderWay(now, a):
	case !c.complete:
		m.collectNext(now, a)
	default:
		m.finishCollection(now, a)
	}
}

// finishCollection is called when every lender has given what it had. What is
// still missing may accrue in time, at this VM or at the lenders, which are then
// asked again; meanwhile nothing is returned. Else the request is refused.
func (m *Machine) finishCollection(now clock.Reading, a *account) {
	head := a.queue[0]
	if wait, possible := a.bucket.Wait(now.Mono, head.amount); possible && now.Mono+wait < head.deadline {
		return
	}
	missing := head.amount - a.bucket.Level(now.Mono)
	left := max(head.deadline-now.Mono-collectAgain, 0)
	if missing <= mulDiv(a.limit.Rate*NanoPerToken, int64(left), int64(time.Second)) {
		a.collect.pausedUntil = now.Mono + collectAgain
		return
	}
	a.nextCollection = now.Mono + collectPause
	cause := m.shortageCause(now, a, head.amount)
	retryAfter := m.retryAfter(now, a, head.amount)
	m.popHead(now, a)
	m.refuse(head.request, head.amount/NanoPerToken, cause, retryAfter)
}

// endCollection gives back what was collected, after the request was served or
// refused.
func (m *Machine) endCollection(now clock.Reading, a *account) {
	if a.collect == nil {
		return
	}
	a.collect = nil
	m.returnCollected(now, a)
}

func (m *Machine) returnCollected(now clock.Reading, a *account) {
	for _, number := range a.borrowed.sortedLoans() {
		if a.borrowed.loans[number].collect {
			m.giveBack(now, a, number)
		}
	}
}

// probe collects although the last answers leave no hope, if they are old enough
// for the lenders to have what is missing by now. It does so seldom, because
// under several times the rate there is never any hope.
func (m *Machine) probe(now clock.Reading, a *account, head waiting, missing int64) bool {
	if now.Mono < a.nextCollection {
		return false
	}
	most := int64(0)
	for vm, view := range a.lenders {
		if !m.peers[vm].Heard {
			continue
		}
		units := view.slots * UnitsPerSlot
		rate := mulDiv(a.limit.Rate*NanoPerToken, units, Units)
		accrued := mulDiv(rate, int64(now.Mono-view.at), int64(time.Second))
		most += min(view.left+accrued, a.capOf(units))
	}
	if most < missing {
		return false
	}
	m.collectFor(now, a, head)
	return true
}
