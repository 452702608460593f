package claim

import "time"

// Kind says what an operation does.
type Kind int

// The kinds of operation.
const (
	// Claim adds a claim on a key that has none.
	Claim Kind = iota
	// TakeOver replaces an attempt that its claimant has said it will never
	// dispatch.
	TakeOver
	// Store adds the answer to a claim.
	Store
)

// Op is one operation on a shard.
type Op struct {
	// ID is unique in the log.
	ID uint64
	// Kind says what is done.
	Kind Kind
	// Record is the claim as it is to stand. For Store it carries the answer.
	Record Record
	// From is the attempt that is replaced, with TakeOver.
	From string
	// Deadline is when the operation is given up.
	Deadline time.Time
}

// Verdict is an operation's end.
type Verdict struct {
	// ID is the operation's.
	ID uint64
	// Granted means that the change is known to have taken effect. After Claim or
	// TakeOver the attempt may be dispatched, once.
	Granted bool
	// Found is the claim that stands in the way, if there is one.
	Found *Record
	// Err is ErrFull, ErrDeadline or ErrCorrupt, if neither of the others is set.
	// The change may then still take effect: the attempt must never be
	// dispatched.
	Err error
}

// Call is what the owner of a log has to do next: read a slot or swap it.
type Call struct {
	// Slot is the slot's number.
	Slot int
	// Swap is false for a read.
	Swap bool
	// Expected is the revision that the slot must have, with Swap.
	Expected int64
	// Value is the new value, with Swap.
	Value []byte
}

// Outcome says what is known of a swap.
type Outcome int

// The outcomes of a swap. After Unknown it may still take effect later.
const (
	Unknown Outcome = iota
	TookEffect
	DidNot
)
