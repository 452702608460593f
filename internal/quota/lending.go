package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// reserveTime is the time of its own demand for which a lender keeps a balance when a
// peer asks for a waiting request. Without it two VMs would pass the same tokens back
// and forth.
const reserveTime = 20 * time.Millisecond

// onAsk lends units and balance that this VM can spare. Both are deducted before the
// answer is sent.
func (m *Machine) onAsk(now clock.Reading, from string, msg Ask) {
	answer := Answer{Loan: msg.Loan, Team: msg.Team}
	a, known := m.teams[msg.Team]
	if !known {
		m.send(from, answer)
		return
	}
	m.refresh(now, a)
	answer.Busy = m.collectedByOther(a, msg)
	_, repeated := a.lent.loans[msg.Loan]
	if !answer.Busy && !repeated {
		answer.Units, answer.Balance = m.offer(now, a, msg)
	}
	ttl := m.loanTTL(now, a, answer.Units)
	if msg.Collect {
		ttl = min(ttl, m.cfg.MaxCollect)
	}
	if ttl < minLoanTTL {
		answer.Units, answer.Balance = 0, 0
	}
	if answer.Units > 0 {
		answer.TTL = ttl
		a.lent.add(msg.Loan, &lent{units: answer.Units, ttl: ttl, since: now, collect: msg.Collect})
		if !m.faults.lendBeforeTaking {
			a.bucket.Adjust(now.Mono, -answer.Balance)
		}
		a.reshape(now)
	}
	answer.Left = max(a.bucket.Level(now.Mono), 0)
	answer.Idle = a.idleUnits()
	answer.LentTo = a.lent.largestBorrower()
	m.send(from, answer)
}

// loanTTL returns how long a number of further units may be lent: at most the remaining
// time of the authority behind them and, if borrowed units are needed, of every loan
// that they may come from.
func (m *Machine) loanTTL(now clock.Reading, a *account, units int64) time.Duration {
	ttl := m.cfg.LoanTTL
	if a.ownUnits > 0 {
		ttl = min(ttl, m.authority.remaining(now))
	}
	if a.lent.units+units <= a.ownUnits {
		return ttl
	}
	for _, loan := range a.borrowed.loans {
		ttl = min(ttl, loan.remaining(now))
	}
	return ttl
}

// collectedByOther reports whether the lender's tokens are being collected by another
// process or by the lender itself, so that a second collector must not get the rest.
func (m *Machine) collectedByOther(a *account, msg Ask) bool {
	if !msg.Collect {
		return false
	}
	if c := a.collection; c != nil && (c.allAsked || c.currentLender >= m.cfg.Self.VM) {
		return true
	}
	return a.lent.collectedByOther(msg.Loan.Borrower)
}

// offer returns how many units and how much balance, in nano-tokens, to lend.
func (m *Machine) offer(now clock.Reading, a *account, msg Ask) (units, balance int64) {
	free := a.units()
	level := max(a.bucket.Level(now.Mono), 0)
	if free == 0 || (!msg.Collect && len(a.queue) > 0) {
		return 0, 0
	}
	reserve := int64(0)
	switch {
	case msg.Ahead:
		reserve = a.burstShare(free) / 2
	case !msg.Collect:
		reserve = mulDiv(a.demand*NanoPerToken, int64(reserveTime), int64(time.Second))
	}
	balance = min(msg.Balance, max(level-reserve, 0), a.burstShare(free))
	units = min(max(min(msg.Units, a.spareUnits()), a.unitsForAmount(balance)), free)
	balance = min(balance, a.burstShare(units))
	// The balance is at least in proportion to the units. With less, the lender's own
	// reduced share of the burst could clip the remaining balance.
	proportional := min(mulDiv(level, units, max(a.units(), 1)), a.burstShare(units))
	return units, max(balance, proportional)
}

// onReturn takes back a loan with its remaining balance. A Return of a loan that has
// expired or was returned already has no effect.
func (m *Machine) onReturn(now clock.Reading, msg Return) {
	a, known := m.teams[msg.Team]
	if !known {
		return
	}
	m.refresh(now, a)
	if !a.lent.remove(msg.Loan) {
		return
	}
	a.reshape(now)
	a.bucket.Adjust(now.Mono, msg.Balance)
	m.serveQueue(now, a)
}

// onRenew extends a loan unless the lender needs the units itself, is leaving, or lent
// them for a collection.
func (m *Machine) onRenew(now clock.Reading, from string, msg Renew) {
	answer := Renewed{Loan: msg.Loan, Team: msg.Team, Number: msg.Number}
	a, known := m.teams[msg.Team]
	if !known {
		m.send(from, answer)
		return
	}
	m.refresh(now, a)
	loan, lentOut := a.lent.loans[msg.Loan]
	ttl := m.loanTTL(now, a, 0)
	if lentOut && !loan.collect && ttl >= minLoanTTL && a.neededUnits() <= a.units() && !m.leaving {
		// The new term may end before the old one if the authority is about to expire.
		if ttl > loan.ttl-elapsedAtLeast(loan.since, now) {
			loan.ttl = ttl
			loan.since = now
			answer.TTL = ttl
		}
	}
	m.send(from, answer)
}
