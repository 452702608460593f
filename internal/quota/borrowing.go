package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

const (
	// askTimeout is after which an Ask counts as lost. A late Answer is still
	// taken in while the loan lasts.
	askTimeout = 100 * time.Millisecond
	// firstBackoff and lastBackoff bound how soon a lender that had nothing is
	// asked again.
	firstBackoff = 10 * time.Millisecond
	lastBackoff  = 320 * time.Millisecond
	// answerLasts is how long a lender's answer says something of its demand.
	answerLasts = 400 * time.Millisecond
	// hintEvery is how often a VM is asked only because another lent to it.
	hintEvery = 100 * time.Millisecond
	// asksPerTick bounds the asks ahead of demand in one tick and team.
	asksPerTick = 3
	// aheadTime is the demand, in time, and aheadRequests in requests, that is
	// asked for beyond a shortage, so that the next request need not ask again.
	aheadTime     = 50 * time.Millisecond
	aheadRequests = 3
	// balanceEvery is how often balances are evened out ahead.
	balanceEvery = 200 * time.Millisecond
	// roundingSlack is more nano-tokens than the rounding of all parts can lose.
	// Without it a request as large as the burst would seem never to fit.
	roundingSlack = 2 * Slots
	// smallLoan is the part of a VM's units below which a loan is not renewed.
	smallLoan = 12
	// shortWait is the wait for the own accrual that is not worth asking for.
	shortWait = 2 * time.Millisecond
	// surplusTime is how long units must be surplus before they are returned.
	surplusTime = 300 * time.Millisecond
)

// askable reports whether a lender may be asked now. An ask that got no answer
// in time counts as lost.
func (m *Machine) askable(now clock.Reading, a *account, vm string, view *lenderView) bool {
	if !m.peers[vm].Heard || now.Mono < view.nextAsk {
		return false
	}
	under, asking := a.borrowed.asks[view.asking]
	return !asking || now.Mono-under.sent.Mono >= askTimeout
}

// seekTokens asks other VMs for what the first request in the queue lacks. It
// returns false if there is no hope before its deadline.
func (m *Machine) seekTokens(now clock.Reading, a *account, head waiting) bool {
	if a.collect != nil {
		return true
	}
	level := a.bucket.Level(now.Mono)
	missing := head.amount - level
	wait, possible := a.bucket.Wait(now.Mono, head.amount)
	soon := possible && now.Mono+wait <= head.deadline
	if soon && wait <= shortWait {
		return true
	}
	if m.estimateElsewhere(now, a) < missing {
		return soon || m.asksUnderWay(now, a) || m.probe(now, a, head, missing)
	}
	best, most := "", int64(0)
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		view := a.lenders[vm]
		if !m.askable(now, a, vm, view) {
			continue
		}
		if e := m.estimate(now, a, view); e > most {
			best, most = vm, e
		}
	}
	if most >= missing {
		m.ask(now, a, best, Ask{Units: max(a.needUnits()-a.units(), 0), Balance: missing + a.aheadBalance()})
		return true
	}
	if soon || m.asksUnderWay(now, a) {
		return true
	}
	return m.startCollection(now, a, head, missing)
}

// asksUnderWay reports whether an answer may still come.
func (m *Machine) asksUnderWay(now clock.Reading, a *account) bool {
	for _, under := range a.borrowed.asks {
		if now.Mono-under.sent.Mono < askTimeout {
			return true
		}
	}
	return false
}

// ask sends an Ask under a new number.
func (m *Machine) ask(now clock.Reading, a *account, lender string, msg Ask) {
	number := m.nextNumber()
	a.borrowed.asks[number] = ask{lender: lender, sent: now, units: msg.Units, balance: msg.Balance, collect: msg.Collect}
	a.lenders[lender].asking = number
	msg.Loan = LoanID{Borrower: m.cfg.Self, Number: number}
	msg.Team = a.limit.Team
	m.send(lender, msg)
}

// onAnswer takes a loan in. Its time runs from the sending of the Ask, and each
// number is accepted once.
func (m *Machine) onAnswer(now clock.Reading, from string, msg Answer) {
	a, known := m.teams[msg.Team]
	if !known || msg.Loan.Borrower != m.cfg.Self {
		return
	}
	m.refresh(now, a)
	under, open := a.borrowed.asks[msg.Loan.Number]
	if !open && m.faults.acceptRepeated {
		under, open = ask{lender: from, sent: now}, true
	}
	if !open {
		return
	}
	delete(a.borrowed.asks, msg.Loan.Number)
	m.noteLender(now, a, under, msg)
	m.noteHint(now, a, msg.LentTo)
	if msg.Units > 0 && clock.Elapsed(under.sent, now) < msg.TTL {
		m.stats.Loans++
		a.borrowed.add(msg.Loan.Number, &borrowed{
			lender: under.lender, units: msg.Units, ttl: msg.TTL, asked: under.sent, collect: under.collect,
		})
		a.reshape(now)
		a.bucket.Adjust(now.Mono, msg.Balance)
	}
	if under.collect && a.collect == nil {
		m.giveBack(now, a, msg.Loan.Number)
	}
	m.continueCollection(now, a, msg)
	m.serveQueue(now, a)
}

// noteLender remembers what a lender has left and when to ask it again.
func (m *Machine) noteLender(now clock.Reading, a *account, under ask, msg Answer) {
	view, known := a.lenders[under.lender]
	if !known {
		return
	}
	view.left, view.idle, view.at = msg.Left, msg.Idle, now.Mono
	if view.asking == msg.Loan.Number {
		view.asking = 0
	}
	if under.fruitful(msg) {
		view.backoff = 0
		return
	}
	view.backoff = min(max(2*view.backoff, firstBackoff), lastBackoff)
	view.nextAsk = now.Mono + view.backoff
}

// lendTick borrows ahead of demand, and renews or returns what is borrowed.
func (m *Machine) lendTick(now clock.Reading, a *account) {
	m.updateLenders(now, a)
	m.findLenders(now, a)
	for number, under := range a.borrowed.asks {
		if clock.Elapsed(under.sent, now) >= m.cfg.LoanTTL {
			delete(a.borrowed.asks, number)
		}
	}
	m.collectionTick(now, a)
	m.renewLoans(now, a)
	m.returnSurplus(now, a)
	m.borrowAhead(now, a)
}

// borrowAhead asks for units when the demand exceeds the VM's part, and for
// balance when it runs low, so that fewer requests have to wait. A fluctuation
// that the balance covers is no reason to ask.
func (m *Machine) borrowAhead(now clock.Reading, a *account) {
	level, limit := a.bucket.Level(now.Mono), a.capOf(a.units())
	if a.collect != nil || level > limit/3 || a.demand == 0 {
		return
	}
	lack := a.needUnits() - a.units()
	if lack > a.units()/4 {
		m.askForUnits(now, a, lack)
		return
	}
	if now.Mono >= a.nextBalance {
		m.askForBalance(now, a, max(limit/2-level, a.aheadBalance()))
	}
}

func (m *Machine) askForUnits(now clock.Reading, a *account, lack int64) {
	names := slices.Collect(maps.Keys(a.lenders))
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(a.lenders[y].idle, a.lenders[x].idle), cmp.Compare(x, y))
	})
	asks := 0
	for _, vm := range names {
		if lack <= 0 || asks >= asksPerTick {
			return
		}
		view := a.lenders[vm]
		// A lender that was last seen without idle units is asked again once
		// its answer is old.
		stale := now.Mono-view.at >= answerLasts
		if (view.idle <= 0 && !stale) || !m.askable(now, a, vm, view) {
			continue
		}
		m.ask(now, a, vm, Ask{Units: lack, Ahead: true})
		lack -= max(view.idle, 0)
		asks++
	}
}

// askForBalance evens balances out between a VM that runs low and one that is
// more than half full, whose further accrual would soon be lost.
func (m *Machine) askForBalance(now clock.Reading, a *account, amount int64) {
	best, most := "", int64(0)
	for _, vm := range slices.Sorted(maps.Keys(a.lenders)) {
		view := a.lenders[vm]
		over := m.estimate(now, a, view) - a.capOf(view.slots*UnitsPerSlot)/2
		if over > most && m.askable(now, a, vm, view) {
			best, most = vm, over
		}
	}
	if best != "" && !m.asksUnderWay(now, a) {
		a.nextBalance = now.Mono + balanceEvery
		m.ask(now, a, best, Ask{Balance: min(amount, most), Ahead: true})
	}
}

// sortedLoans returns the numbers of the loans, oldest first.
func (b *borrowedLedger) sortedLoans() []uint64 {
	return slices.Sorted(maps.Keys(b.loans))
}

// renewLoans asks for the loans in use to last longer when half their time is over.
func (m *Machine) renewLoans(now clock.Reading, a *account) {
	for _, number := range a.borrowed.sortedLoans() {
		loan := a.borrowed.loans[number]
		age := clock.Elapsed(loan.asked, now)
		if loan.collect || age < loan.ttl/2 {
			continue
		}
		if loan.renewing != 0 && clock.Elapsed(loan.renewSent, now) < loan.ttl/8 {
			continue
		}
		// Close to its end the loan goes back with its balance, which would
		// otherwise be lost. A small one is not worth the messages.
		if age >= loan.ttl-loan.ttl/8 || loan.units < a.units()/smallLoan {
			m.giveBack(now, a, number)
			continue
		}
		loan.renewing, loan.renewSent = m.nextNumber(), now
		m.send(loan.lender, Renew{
			Loan: LoanID{Borrower: m.cfg.Self, Number: number}, Team: a.limit.Team, Number: loan.renewing,
		})
	}
}

// onRenewed lets a loan last longer, counted from the sending of the Renew.
func (m *Machine) onRenewed(now clock.Reading, msg Renewed) {
	a, known := m.teams[msg.Team]
	if !known || msg.Loan.Borrower != m.cfg.Self {
		return
	}
	m.refresh(now, a)
	loan, open := a.borrowed.loans[msg.Loan.Number]
	if !open || loan.renewing == 0 || loan.renewing != msg.Number || msg.TTL == 0 {
		return
	}
	loan.renewing = 0
	loan.asked = loan.renewSent
	loan.ttl = msg.TTL
}

// returnSurplus gives back what the demand has not called for in a while.
func (m *Machine) returnSurplus(now clock.Reading, a *account) {
	surplus := a.units() - a.needUnits()
	if surplus <= 0 || a.borrowed.units == 0 || a.collect != nil {
		a.surplusSince = now.Mono
		return
	}
	if now.Mono-a.surplusSince < surplusTime {
		return
	}
	for _, number := range a.borrowed.sortedLoans() {
		loan := a.borrowed.loans[number]
		if loan.units <= surplus {
			surplus -= loan.units
			m.giveBack(now, a, number)
		}
	}
}

// balanceToReturn is the balance that goes back with a loan: its part of what
// there is, but a VM with demand of its own first keeps half of its own part
// filled.
func (a *account) balanceToReturn(now clock.Reading, loan *borrowed) int64 {
	level := max(a.bucket.Level(now.Mono), 0)
	units := a.units()
	own := a.capOf(units - loan.units)
	balance := mulDiv(level, loan.units, max(units, 1))
	if a.demand > 0 && !loan.collect {
		balance = min(balance, max(level-own/2, 0))
	}
	return min(max(balance, level-own), a.capOf(loan.units))
}

// giveBack returns a loan with its part of the balance. Both are taken away
// before the message goes out.
func (m *Machine) giveBack(now clock.Reading, a *account, number uint64) {
	loan, open := a.borrowed.loans[number]
	// What was lent on must come back first.
	if !open || loan.units > a.units() {
		return
	}
	balance := a.balanceToReturn(now, loan)
	a.borrowed.end(number)
	a.bucket.Adjust(now.Mono, -balance)
	a.reshape(now)
	m.send(loan.lender, Return{Loan: LoanID{Borrower: m.cfg.Self, Number: number}, Team: a.limit.Team, Balance: balance})
}
