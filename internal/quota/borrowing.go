package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

const (
	// askTimeout is the time after which an unanswered Ask counts as lost. A late
	// Answer is still accepted while the loan lasts.
	askTimeout = 100 * time.Millisecond
	// minAskBackoff and maxAskBackoff bound the wait before a lender is asked again
	// that lent less than half of what was asked for.
	minAskBackoff = 10 * time.Millisecond
	maxAskBackoff = 320 * time.Millisecond
	// answerValidity is how long a lender's answer is used as information on its
	// demand.
	answerValidity = 400 * time.Millisecond
	// hintInterval is the minimum time between two uses of the hint that a VM has
	// borrowed from another one.
	hintInterval = 100 * time.Millisecond
	// maxAsksPerTick is the maximum number of Asks for units ahead of demand per tick
	// and team.
	maxAsksPerTick = 3
	// aheadTime and aheadRequests give the balance to borrow beyond a shortage, as
	// a time of demand and as a number of requests of mean size. The larger of the
	// two applies, so that the next request does not have to ask again.
	aheadTime     = 50 * time.Millisecond
	aheadRequests = 3
	// rebalanceInterval is the minimum time between two Asks for balance ahead of
	// demand.
	rebalanceInterval = 200 * time.Millisecond
	// roundingSlack is more nano-tokens than rounding the shares of all VMs can
	// lose. Without it a request as large as the burst would never seem to fit.
	roundingSlack = 2 * Slots
	// smallLoanDivisor is the divisor of a VM's units that gives the size below which
	// a loan is returned instead of renewed.
	smallLoanDivisor = 12
	// negligibleWait is the longest wait for the VM's own accrual for which other
	// VMs are not asked.
	negligibleWait = 2 * time.Millisecond
	// surplusTime is how long units must be unneeded before their loans are returned.
	surplusTime = 300 * time.Millisecond
)

// canAsk reports whether a lender may be asked now: it is alive, its backoff is over
// and no Ask to it is pending. An Ask without an answer after askTimeout counts as lost.
func (m *Machine) canAsk(now clock.Reading, a *account, vm string, view *lenderView) bool {
	if !m.peers[vm].Alive || now.Mono < view.nextAsk {
		return false
	}
	pending, found := a.borrowed.pendingAsks[view.askNumber]
	return !found || now.Mono-pending.sent.Mono >= askTimeout
}

// seekTokens asks other VMs for the tokens that the first request in the queue lacks.
// It returns false if no tokens can be expected before the request's deadline.
func (m *Machine) seekTokens(now clock.Reading, a *account, head queuedRequest) bool {
	if a.collection != nil {
		return true
	}
	level := a.bucket.Level(now.Mono)
	missing := head.amount - level
	wait, possible := a.bucket.Wait(now.Mono, head.amount)
	accruesInTime := possible && now.Mono+wait <= head.deadline
	if accruesInTime && wait <= negligibleWait {
		return true
	}
	if m.estimateElsewhere(now, a) < missing {
		return accruesInTime || m.hasPendingAsks(now, a) || m.probe(now, a, head, missing)
	}
	best, most := "", int64(0)
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		view := a.lenders[vm]
		if !m.canAsk(now, a, vm, view) {
			continue
		}
		if e := m.estimate(now, a, view); e > most {
			best, most = vm, e
		}
	}
	if most >= missing {
		m.sendAsk(now, a, best, Ask{Units: max(a.neededUnits()-a.units(), 0), Balance: missing + a.aheadBalance()})
		return true
	}
	if accruesInTime || m.hasPendingAsks(now, a) {
		return true
	}
	return m.tryCollection(now, a, head, missing)
}

// hasPendingAsks reports whether any Ask was sent less than askTimeout ago and has no
// answer yet.
func (m *Machine) hasPendingAsks(now clock.Reading, a *account) bool {
	for _, pending := range a.borrowed.pendingAsks {
		if now.Mono-pending.sent.Mono < askTimeout {
			return true
		}
	}
	return false
}

// sendAsk sends an Ask with a new loan number.
func (m *Machine) sendAsk(now clock.Reading, a *account, lender string, msg Ask) {
	number := m.nextNumber()
	a.borrowed.pendingAsks[number] = pendingAsk{lender: lender, sent: now, units: msg.Units, balance: msg.Balance, collect: msg.Collect}
	a.lenders[lender].askNumber = number
	msg.Loan = LoanID{Borrower: m.cfg.Self, Number: number}
	msg.Team = a.limit.Team
	m.send(lender, msg)
}

// onAnswer accepts a loan. Its term runs from the sending of the Ask, and each loan
// number is accepted once.
func (m *Machine) onAnswer(now clock.Reading, from string, msg Answer) {
	a, known := m.teams[msg.Team]
	if !known || msg.Loan.Borrower != m.cfg.Self {
		return
	}
	m.refresh(now, a)
	pending, open := a.borrowed.pendingAsks[msg.Loan.Number]
	if !open && m.faults.acceptRepeated {
		pending, open = pendingAsk{lender: from, sent: now}, true
	}
	if !open {
		return
	}
	delete(a.borrowed.pendingAsks, msg.Loan.Number)
	m.updateLenderView(now, a, pending, msg)
	m.noteHint(now, a, msg.LentTo)
	if msg.Units > 0 && clock.Elapsed(pending.sent, now) < msg.TTL {
		m.stats.Loans++
		a.borrowed.add(msg.Loan.Number, &borrowed{
			lender: pending.lender, units: msg.Units, ttl: msg.TTL, termStart: pending.sent, collect: pending.collect,
		})
		a.reshape(now)
		a.bucket.Adjust(now.Mono, msg.Balance)
	}
	if pending.collect && a.collection == nil {
		m.returnLoan(now, a, msg.Loan.Number)
	}
	m.continueCollection(now, a, msg)
	m.serveQueue(now, a)
}

// updateLenderView records the lender's balance and idle units from its answer, and
// when it may be asked again.
func (m *Machine) updateLenderView(now clock.Reading, a *account, pending pendingAsk, msg Answer) {
	view, known := a.lenders[pending.lender]
	if !known {
		return
	}
	view.balance, view.idle, view.answeredAt = msg.Left, msg.Idle, now.Mono
	if view.askNumber == msg.Loan.Number {
		view.askNumber = 0
	}
	if pending.isSatisfiedBy(msg) {
		view.backoff = 0
		return
	}
	view.backoff = min(max(2*view.backoff, minAskBackoff), maxAskBackoff)
	view.nextAsk = now.Mono + view.backoff
}

// loanTick discovers lenders, continues a collection, renews or returns borrowed
// loans, and borrows ahead of demand.
func (m *Machine) loanTick(now clock.Reading, a *account) {
	m.updateLenders(now, a)
	m.discoverLenders(now, a)
	for number, pending := range a.borrowed.pendingAsks {
		if clock.Elapsed(pending.sent, now) >= m.cfg.LoanTTL {
			delete(a.borrowed.pendingAsks, number)
		}
	}
	m.collectionTick(now, a)
	m.renewLoans(now, a)
	m.returnSurplus(now, a)
	m.borrowAhead(now, a)
}

// borrowAhead asks for units if the demand exceeds the VM's share, and for balance if
// the balance is low, so that fewer requests have to wait. It asks for nothing while
// the balance still covers a fluctuation of the demand.
func (m *Machine) borrowAhead(now clock.Reading, a *account) {
	level, limit := a.bucket.Level(now.Mono), a.burstShare(a.units())
	if a.collection != nil || level > limit/3 || a.demand == 0 {
		return
	}
	shortfall := a.neededUnits() - a.units()
	if shortfall > a.units()/4 {
		m.askForUnits(now, a, shortfall)
		return
	}
	if now.Mono >= a.nextRebalance {
		m.askForBalance(now, a, max(limit/2-level, a.aheadBalance()))
	}
}

func (m *Machine) askForUnits(now clock.Reading, a *account, shortfall int64) {
	names := slices.Collect(maps.Keys(a.lenders))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.lenders[y].idle, a.lenders[x].idle), cmp.Compare(x, y))
	})
	asks := 0
	for _, vm := range names {
		if shortfall <= 0 || asks >= maxAsksPerTick {
			return
		}
		view := a.lenders[vm]
		// A lender whose last answer showed no idle units is asked again when that
		// answer is older than answerValidity.
		stale := now.Mono-view.answeredAt >= answerValidity
		if (view.idle <= 0 && !stale) || !m.canAsk(now, a, vm, view) {
			continue
		}
		m.sendAsk(now, a, vm, Ask{Units: shortfall, Ahead: true})
		shortfall -= max(view.idle, 0)
		asks++
	}
}

// askForBalance asks the lender with the largest estimated excess over half of its
// share of the burst. A lender that is more than half full would soon lose further
// accrual.
func (m *Machine) askForBalance(now clock.Reading, a *account, amount int64) {
	best, most := "", int64(0)
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		view := a.lenders[vm]
		excess := m.estimate(now, a, view) - a.burstShare(view.slots*UnitsPerSlot)/2
		if excess > most && m.canAsk(now, a, vm, view) {
			best, most = vm, excess
		}
	}
	if best != "" && !m.hasPendingAsks(now, a) {
		a.nextRebalance = now.Mono + rebalanceInterval
		m.sendAsk(now, a, best, Ask{Balance: min(amount, most), Ahead: true})
	}
}

// sortedLoanNumbers returns the numbers of the loans, oldest first.
func (b *borrowedLedger) sortedLoanNumbers() []uint64 {
	return slices.Sorted(maps.Keys(b.loans))
}

// renewLoans asks the lenders to renew loans of which half the term has passed.
func (m *Machine) renewLoans(now clock.Reading, a *account) {
	for _, number := range a.borrowed.sortedLoanNumbers() {
		loan := a.borrowed.loans[number]
		age := clock.Elapsed(loan.termStart, now)
		if loan.collect || age < loan.ttl/2 {
			continue
		}
		if loan.renewNumber != 0 && clock.Elapsed(loan.renewSent, now) < loan.ttl/8 {
			continue
		}
		// In the last eighth of its term the loan is returned with its balance, which
		// would otherwise be lost. A small loan is returned too, because it does not
		// justify the messages.
		if age >= loan.ttl-loan.ttl/8 || loan.units < a.units()/smallLoanDivisor {
			m.returnLoan(now, a, number)
			continue
		}
		loan.renewNumber, loan.renewSent = m.nextNumber(), now
		m.send(loan.lender, Renew{
			Loan: LoanID{Borrower: m.cfg.Self, Number: number}, Team: a.limit.Team, Number: loan.renewNumber,
		})
	}
}

// onRenewed extends a loan. The new term runs from the sending of the Renew.
func (m *Machine) onRenewed(now clock.Reading, msg Renewed) {
	a, known := m.teams[msg.Team]
	if !known || msg.Loan.Borrower != m.cfg.Self {
		return
	}
	m.refresh(now, a)
	loan, open := a.borrowed.loans[msg.Loan.Number]
	if !open || loan.renewNumber == 0 || loan.renewNumber != msg.Number || msg.TTL == 0 {
		return
	}
	loan.renewNumber = 0
	loan.termStart = loan.renewSent
	loan.ttl = msg.TTL
}

// returnSurplus returns loans whose units the demand has not needed for surplusTime.
func (m *Machine) returnSurplus(now clock.Reading, a *account) {
	surplus := a.units() - a.neededUnits()
	if surplus <= 0 || a.borrowed.units == 0 || a.collection != nil {
		a.surplusSince = now.Mono
		return
	}
	if now.Mono-a.surplusSince < surplusTime {
		return
	}
	for _, number := range a.borrowed.sortedLoanNumbers() {
		loan := a.borrowed.loans[number]
		if loan.units <= surplus {
			surplus -= loan.units
			m.returnLoan(now, a, number)
		}
	}
}

// balanceToReturn returns the balance, in nano-tokens, to return with a loan: the
// loan's proportional part of the balance. Unless the loan belongs to a collection, a
// VM with demand keeps enough to fill half of its remaining share of the burst.
func (a *account) balanceToReturn(now clock.Reading, loan *borrowed) int64 {
	level := max(a.bucket.Level(now.Mono), 0)
	units := a.units()
	remainingShare := a.burstShare(units - loan.units)
	balance := mulDiv(level, loan.units, max(units, 1))
	if a.demand > 0 && !loan.collect {
		balance = min(balance, max(level-remainingShare/2, 0))
	}
	return min(max(balance, level-remainingShare), a.burstShare(loan.units))
}

// returnLoan returns a loan with its part of the balance to the lender. Both are
// deducted at this VM before the message is sent.
func (m *Machine) returnLoan(now clock.Reading, a *account, number uint64) {
	loan, open := a.borrowed.loans[number]
	// Units of the loan that this VM has lent on must be returned to it first.
	if !open || loan.units > a.units() {
		return
	}
	balance := a.balanceToReturn(now, loan)
	a.borrowed.remove(number)
	a.bucket.Adjust(now.Mono, -balance)
	a.reshape(now)
	m.send(loan.lender, Return{Loan: LoanID{Borrower: m.cfg.Self, Number: number}, Team: a.limit.Team, Balance: balance})
}
