package quota

import (
	"time"

	"github.com/chestnutarch/chestnutarch/internal/clock"
)

// lent is a loan as its lender sees it. The lender had taken the units away from
// itself before the message went out, so that a lost message loses tokens for a
// while and never makes any.
type lent struct {
	units   int64
	ttl     time.Duration
	since   clock.Reading
	collect bool
}

// lentLedger holds what a VM has lent of one team.
type lentLedger struct {
	loans map[LoanID]*lent
	units int64
}

func (l *lentLedger) add(id LoanID, loan *lent) {
	l.loans[id] = loan
	l.units += loan.units
}

// end removes a loan and reports whether it was there.
func (l *lentLedger) end(id LoanID) bool {
	loan, known := l.loans[id]
	if !known {
		return false
	}
	delete(l.loans, id)
	l.units -= loan.units
	return true
}

// expire takes back the loans that their borrowers can no longer use. The
// balance that went with them stays lost.
func (l *lentLedger) expire(now clock.Reading, margin time.Duration) {
	for id, loan := range l.loans {
		if elapsedAtLeast(loan.since, now) >= loan.ttl+margin {
			l.end(id)
		}
	}
}

// heldByOther reports whether the collection of another process has tokens.
func (l *lentLedger) heldByOther(borrower Holder) bool {
	for id, loan := range l.loans {
		if loan.collect && id.Borrower != borrower {
			return true
		}
	}
	return false
}

// borrowed is a loan as its borrower sees it.
type borrowed struct {
	lender string
	units  int64
	ttl    time.Duration
	// asked is when the Ask or the last Renew that was answered had been sent.
	asked clock.Reading
	// renewing is the number of the Renew without an answer, sent at renewSent.
	renewing  uint64
	renewSent clock.Reading
	collect   bool
}

// ask is an Ask without an answer.
type ask struct {
	lender string
	sent   clock.Reading
	// units and balance are what was asked for.
	units   int64
	balance int64
	collect bool
}

// fruitful reports whether an answer brought at least half of what was asked for.
func (a ask) fruitful(msg Answer) bool {
	if a.units == 0 && a.balance == 0 {
		return true
	}
	return msg.Units > 0 && 2*msg.Units >= a.units && 2*msg.Balance >= a.balance
}

// borrowedLedger holds what a VM has borrowed of one team. Each number is
// accepted once: were a repeated Answer taken in again, its tokens would be
// used twice.
type borrowedLedger struct {
	asks  map[uint64]ask
	loans map[uint64]*borrowed
	units int64
}

func (b *borrowedLedger) add(number uint64, loan *borrowed) {
	b.loans[number] = loan
	b.units += loan.units
}

func (b *borrowedLedger) end(number uint64) {
	if loan, known := b.loans[number]; known {
		delete(b.loans, number)
		b.units -= loan.units
	}
}

// expire drops the loans that have ended and reports whether there were any.
func (b *borrowedLedger) expire(now clock.Reading) bool {
	any := false
	for number, loan := range b.loans {
		if clock.Elapsed(loan.asked, now) >= loan.ttl {
			b.end(number)
			any = true
		}
	}
	return any
}

// remaining returns how long the loan lasts.
func (l *borrowed) remaining(now clock.Reading) time.Duration {
	return max(l.ttl-clock.Elapsed(l.asked, now), 0)
}

// largest returns the borrower of the largest loan, if any.
func (l *lentLedger) largest() string {
	vm, most := "", int64(0)
	for id, loan := range l.loans {
		if loan.units > most || (loan.units == most && id.Borrower.VM < vm) {
			vm, most = id.Borrower.VM, loan.units
		}
	}
	return vm
}

// lenderView is what a VM remembers of a lender of one team.
type lenderView struct {
	slots int64
	left  int64
	// idle is what the demand at the lender leaves over of its rate, in units.
	idle int64
	at   time.Duration
	// hinted is when another lender last said that it had lent to this one.
	hinted time.Duration
	// asking is the number of the Ask under way, zero if none.
	asking  uint64
	nextAsk time.Duration
	backoff time.Duration
}
