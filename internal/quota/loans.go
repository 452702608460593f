package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// lent is a loan at its lender. The lender deducts the units before it sends the
// message, so that a lost message makes tokens unavailable for a while and never
// creates any.
type lent struct {
	units   int64
	ttl     time.Duration
	since   clock.Reading
	collect bool
}

// lentLedger holds the loans of one team that a VM has given. units is their sum.
type lentLedger struct {
	loans map[LoanID]*lent
	units int64
}

func (l *lentLedger) add(id LoanID, loan *lent) {
	l.loans[id] = loan
	l.units += loan.units
}

// remove removes a loan and reports whether it was present.
func (l *lentLedger) remove(id LoanID) bool {
	loan, known := l.loans[id]
	if !known {
		return false
	}
	delete(l.loans, id)
	l.units -= loan.units
	return true
}

// expire removes the loans that their borrowers can no longer use. The balance lent
// with them is lost.
func (l *lentLedger) expire(now clock.Reading, margin time.Duration) {
	for id, loan := range l.loans {
		if elapsedAtLeast(loan.since, now) >= loan.ttl+margin {
			l.remove(id)
		}
	}
}

// collectedByOther reports whether a process other than the borrower has a loan for a
// collection.
func (l *lentLedger) collectedByOther(borrower Holder) bool {
	for id, loan := range l.loans {
		if loan.collect && id.Borrower != borrower {
			return true
		}
	}
	return false
}

// borrowed is a loan at its borrower.
type borrowed struct {
	lender string
	units  int64
	ttl    time.Duration
	// termStart is when the Ask, or the last Renew that extended the loan, was sent.
	termStart clock.Reading
	// renewNumber is the number of the Renew that was sent at renewSent and has not
	// extended the loan yet, zero if there is none.
	renewNumber uint64
	renewSent   clock.Reading
	collect     bool
}

// pendingAsk is an Ask without an answer.
type pendingAsk struct {
	lender string
	sent   clock.Reading
	// units and balance, in nano-tokens, are the amounts asked for.
	units   int64
	balance int64
	collect bool
}

// isSatisfiedBy reports whether an answer lends at least half of what was asked for.
func (a pendingAsk) isSatisfiedBy(msg Answer) bool {
	if a.units == 0 && a.balance == 0 {
		return true
	}
	return msg.Units > 0 && 2*msg.Units >= a.units && 2*msg.Balance >= a.balance
}

// borrowedLedger holds the loans of one team that a VM has received, by loan number.
// units is their sum. Each number is accepted once: if a repeated Answer were accepted
// again, its tokens would be used twice.
type borrowedLedger struct {
	pendingAsks map[uint64]pendingAsk
	loans       map[uint64]*borrowed
	units       int64
}

func (b *borrowedLedger) add(number uint64, loan *borrowed) {
	b.loans[number] = loan
	b.units += loan.units
}

func (b *borrowedLedger) remove(number uint64) {
	if loan, known := b.loans[number]; known {
		delete(b.loans, number)
		b.units -= loan.units
	}
}

// expire removes the loans that have expired and reports whether there were any.
func (b *borrowedLedger) expire(now clock.Reading) bool {
	expired := false
	for number, loan := range b.loans {
		if clock.Elapsed(loan.termStart, now) >= loan.ttl {
			b.remove(number)
			expired = true
		}
	}
	return expired
}

// remaining returns the time until the loan expires, zero if it has expired.
func (l *borrowed) remaining(now clock.Reading) time.Duration {
	return max(l.ttl-clock.Elapsed(l.termStart, now), 0)
}

// largestBorrower returns the VM ID of the borrower of the largest loan, or "" if there
// is no loan.
func (l *lentLedger) largestBorrower() string {
	vm, most := "", int64(0)
	for id, loan := range l.loans {
		if loan.units > most || (loan.units == most && id.Borrower.VM < vm) {
			vm, most = id.Borrower.VM, loan.units
		}
	}
	return vm
}

// lenderView is what a VM has recorded about a lender of one team.
type lenderView struct {
	slots   int64
	balance int64
	// idle is the number of units that the demand at the lender leaves unused.
	idle       int64
	answeredAt time.Duration
	// hintedAt is when another lender last named this VM as its borrower, or when
	// discoverLenders last selected it.
	hintedAt time.Duration
	// askNumber is the loan number of the last Ask, zero if it was answered.
	askNumber uint64
	nextAsk   time.Duration
	backoff   time.Duration
}
