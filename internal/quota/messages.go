package quota

import "time"

// LoanID names a loan for ever: the borrower's process and a number that the
// process uses once.
type LoanID struct {
	Borrower Holder
	Number   uint64
}

// Message is what VMs say to each other about quotas.
type Message interface{ message() }

// Ask asks a holder for a loan.
type Ask struct {
	Loan LoanID
	Team string
	// Units is how much of the rate and burst is wanted for the time to come.
	Units int64
	// Balance is how many nano-tokens are wanted at once.
	Balance int64
	// Collect means that a request waits which is larger than any one part. The
	// lender gives all it needs, and lends to no other collector meanwhile.
	Collect bool
	// Ahead means that no request waits yet. The lender keeps half of its own
	// balance then.
	Ahead bool
}

// Answer is the reply to Ask. Units is zero if nothing was lent.
type Answer struct {
	Loan LoanID
	Team string
	// Units and Balance are what was lent, for TTL from the sending of the Ask.
	Units   int64
	Balance int64
	TTL     time.Duration
	// Left is the lender's balance after the loan.
	Left int64
	// Idle is how many units the demand at the lender leaves over, negative if
	// the lender lacks some itself.
	Idle int64
	// LentTo is the VM that has the largest part of what the lender lent.
	LentTo string
	// Busy means that another collector has the lender's tokens.
	Busy bool
}

// Return gives a loan back before its end.
type Return struct {
	Loan LoanID
	Team string
	// Balance is what goes back with it.
	Balance int64
}

// Renew asks for a loan to last longer.
type Renew struct {
	Loan LoanID
	Team string
	// Number tells this request from earlier ones for the same loan.
	Number uint64
}

// Renewed is the reply to Renew. The loan lasts for TTL from the sending of the
// Renew; zero changes nothing.
type Renewed struct {
	Loan   LoanID
	Team   string
	Number uint64
	TTL    time.Duration
}

// PromiseRequest asks a witness not to close the sender's record.
type PromiseRequest struct {
	From   Holder
	To     Holder
	Number uint64
}

// Promise is the reply of a witness that gives its word.
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

// Action is what the state machine wants done.
type Action interface{ action() }

// Send sends a message. It may be lost, delayed, repeated or overtaken.
type Send struct {
	// To is the receiver's VM ID.
	To      string
	Message Message
}

// Verdict answers an Acquire.
type Verdict struct {
	// Request is the number given to Acquire.
	Request uint64
	// Admitted means that the tokens were charged.
	Admitted bool
	// Cause says why not.
	Cause Cause
	// RetryAfter estimates when the request would be admitted.
	RetryAfter time.Duration
}

// Write asks for a compare-and-swap, to be answered by Wrote.
type Write struct {
	Op       uint64
	Key      string
	Expected int64
	Value    []byte
}

// Read asks for a key's entry, to be answered by ReadDone.
type Read struct {
	Op  uint64
	Key string
}

func (Send) action()    {}
func (Verdict) action() {}
func (Write) action()   {}
func (Read) action()    {}

// Cause says why a request was refused.
type Cause string

// The causes. Only CauseOverRate and CauseTooLarge are the team's own doing.
const (
	CauseNone        Cause = ""
	CauseOverRate    Cause = "over_rate"
	CausePartShort   Cause = "part_short"
	CauseNoAuthority Cause = "no_authority"
	CauseTooLarge    Cause = "too_large"
	CauseUnknownTeam Cause = "unknown_team"
)
