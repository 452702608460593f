package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// reserveTime is the demand, in time, that a lender keeps a balance for when a
// peer is short. Without it two VMs would pass the same tokens to and fro.
const reserveTime = 20 * time.Millisecond

// onAsk lends what can be spared. The units and the balance are taken away
// before the answer goes out.
func (m *Machine) onAsk(now clock.Reading, from string, msg Ask) {
	answer := Answer{Loan: msg.Loan, Team: msg.Team}
	a, known := m.teams[msg.Team]
	if !known {
		m.send(from, answer)
		return
	}
	m.refresh(now, a)
	answer.Busy = m.heldByOther(a, msg)
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
	answer.LentTo = a.lent.largest()
	m.send(from, answer)
}

// loanTTL returns how long a number of further units may be lent: no longer than
// the authority lasts that they come from, nor, where they are borrowed
// themselves, than any loan that they may be part of.
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

// heldByOther reports whether the lender's tokens are being collected by another
// VM, or by itself, so that a second collector must not take the rest.
func (m *Machine) heldByOther(a *account, msg Ask) bool {
	if !msg.Collect {
		return false
	}
	if c := a.collect; c != nil && (c.complete || c.order >= m.cfg.Self.VM) {
		return true
	}
	return a.lent.heldByOther(msg.Loan.Borrower)
}

// offer decides how many units and how much balance to lend.
func (m *Machine) offer(now clock.Reading, a *account, msg Ask) (units, balance int64) {
	free := a.units()
	level := max(a.bucket.Level(now.Mono), 0)
	if free == 0 || (!msg.Collect && len(a.queue) > 0) {
		return 0, 0
	}
	keep := int64(0)
	switch {
	case msg.Ahead:
		keep = a.capOf(free) / 2
	case !msg.Collect:
		keep = mulDiv(a.demand*NanoPerToken, int64(reserveTime), int64(time.Second))
	}
	balance = min(msg.Balance, max(level-keep, 0), a.capOf(free))
	units = min(max(min(msg.Units, a.spareUnits()), a.unitsFor(balance)), free)
	balance = min(balance, a.capOf(units))
	// Never less than in proportion, or the lender's own cap would clip the rest.
	proportional := min(mulDiv(level, units, max(a.units(), 1)), a.capOf(units))
	return units, max(balance, proportional)
}

// onReturn takes back a loan with the balance that is left of it. One that has
// ended already, or is returned twice, brings nothing.
func (m *Machine) onReturn(now clock.Reading, msg Return) {
	a, known := m.teams[msg.Team]
	if !known {
		return
	}
	m.refresh(now, a)
	if !a.lent.end(msg.Loan) {
		return
	}
	a.reshape(now)
	a.bucket.Adjust(now.Mono, msg.Balance)
	m.serveQueue(now, a)
}

// onRenew lets a loan last longer unless the lender needs it itself.
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
	if lentOut && !loan.collect && ttl >= minLoanTTL && a.needUnits() <= a.units() && !m.leaving {
		// The new term may end before the old one if the authority is about to.
		if ttl > loan.ttl-elapsedAtLeast(loan.since, now) {
			loan.ttl = ttl
			loan.since = now
			answer.TTL = ttl
		}
	}
	m.send(from, answer)
}
