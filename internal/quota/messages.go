package quota

import "time"

// LoanID identifies a loan uniquely and permanently: the borrower's process and a
// number that the process uses once.
type LoanID struct {
	Borrower Holder
	Number   uint64
}

// Message is a message between VMs about quotas.
type Message interface{ message() }

// Ask asks another VM for a loan.
type Ask struct {
	Loan LoanID
	Team string
	// Units is the share of the rate and burst, in units, to borrow.
	Units int64
	// Balance is the number of nano-tokens to borrow immediately.
	Balance int64
	// Collect means that a request waits which needs tokens of several lenders. The
	// lender keeps no reserve, and lends to no other collector meanwhile.
	Collect bool
	// Ahead means that no request waits yet. The lender then keeps half of its own
	// share of the burst.
	Ahead bool
}

// Answer is the reply to Ask. Units is zero if nothing was lent.
type Answer struct {
	Loan LoanID
	Team string
	// Units, and Balance in nano-tokens, are lent for TTL from the sending of the Ask.
	Units   int64
	Balance int64
	TTL     time.Duration
	// Left is the lender's balance in nano-tokens after the loan, at least zero.
	Left int64
	// Idle is the number of units that the demand at the lender leaves unused,
	// negative if the lender lacks units itself.
	Idle int64
	// LentTo is the VM that has the largest loan from the lender, "" if there is none.
	LentTo string
	// Busy means that another collector is using the lender's tokens.
	Busy bool
}

// Return returns a loan before it expires.
type Return struct {
	Loan LoanID
	Team string
	// Balance is the number of nano-tokens returned with the loan.
	Balance int64
}

// Renew asks the lender to extend a loan.
type Renew struct {
	Loan LoanID
	Team string
	// Number distinguishes this request from earlier ones for the same loan.
	Number uint64
}

// Renewed is the reply to Renew. The loan lasts for TTL from the sending of the Renew.
// A TTL of zero leaves the loan unchanged.
type Renewed struct {
	Loan   LoanID
	Team   string
	Number uint64
	TTL    time.Duration
}

// PromiseRequest asks a witness to promise not to consent to closing the sender's
// record for one term.
type PromiseRequest struct {
	From   Holder
	To     Holder
	Number uint64
}

// Promise is the reply of a witness that grants a PromiseRequest.
type Promise struct {
	From   Holder
	To     Holder
	Number uint64
}

func (Ask) message()            {}
func (Answer) message()         {}
func (Return) message()         {}
func (Renew) message()          {}
func (Renewed) message()        {}
func (PromiseRequest) message() {}
func (Promise) message()        {}

// Action is an operation that the caller of the state machine must carry out.
type Action interface{ action() }

// Send sends a message. The message may be lost, delayed, duplicated or reordered.
type Send struct {
	// To is the receiver's VM ID.
	To      string
	Message Message
}

// Verdict answers an Acquire.
type Verdict struct {
	// Request is the request number that was passed to Acquire.
	Request uint64
	// Admitted means that the tokens were charged.
	Admitted bool
	// Cause is the reason for a refusal, CauseNone if the request was admitted.
	Cause Cause
	// RetryAfter is the estimated time until the request would be admitted.
	RetryAfter time.Duration
}

// Write requests a compare-and-swap of a key whose revision is Expected. The caller
// answers it with WriteDone.
type Write struct {
	Op       uint64
	Key      string
	Expected int64
	Value    []byte
}

// Read requests a key's entry. The caller answers it with ReadDone.
type Read struct {
	Op  uint64
	Key string
}

func (Send) action()    {}
func (Verdict) action() {}
func (Write) action()   {}
func (Read) action()    {}

// Cause is the reason why a request was refused.
type Cause string

// The causes. Only CauseOverRate and CauseTooLarge are due to the team's own requests.
const (
	CauseNone        Cause = ""
	CauseOverRate    Cause = "over_rate"
	CausePartShort   Cause = "part_short"
	CauseNoAuthority Cause = "no_authority"
	CauseTooLarge    Cause = "too_large"
	CauseUnknownTeam Cause = "unknown_team"
)
