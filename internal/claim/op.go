package claim

import "time"

// Kind is the type of an operation.
type Kind int

// The kinds of operation.
const (
	// Claim adds a claim on a key that has none.
	Claim Kind = iota
	// TakeOver replaces an attempt that its claimant has reported as abandoned: it
	// will never be dispatched.
	TakeOver
	// Store adds the action's answer to its claim.
	Store
)

// Op is one operation on a shard.
type Op struct {
	// ID is unique within the Log.
	ID   uint64
	Kind Kind
	// Record is the claim to write. For Store it includes the answer.
	Record Record
	// From is the attempt that TakeOver replaces.
	From string
	// Deadline is the time after which the operation fails with ErrDeadline.
	Deadline time.Time
}

// Verdict is the result of an operation.
type Verdict struct {
	// ID identifies the operation.
	ID uint64
	// Granted means that the change is confirmed in the key-value service. After
	// Claim or TakeOver the attempt may be dispatched, once.
	Granted bool
	// Found is the conflicting claim on the key, or nil.
	Found *Record
	// Err is ErrFull, ErrDeadline or ErrCorrupt, and is set only if Granted is false
	// and Found is nil. The change may still take effect after an error, so the
	// attempt must never be dispatched.
	Err error
}

// Call is a request that the owner of a Log must make next: a read or a
// compare-and-swap of a slot.
type Call struct {
	// Slot is the slot's index in the ring.
	Slot int
	// Swap is true for a compare-and-swap and false for a read.
	Swap bool
	// Expected is the revision that the slot must have for the swap to take effect.
	Expected int64
	// Value is the value that the swap writes.
	Value []byte
}

// Outcome is the known result of a swap.
type Outcome int

// The outcomes of a swap. A swap whose outcome is Unknown may still take effect later.
const (
	Unknown Outcome = iota
	TookEffect
	NoEffect
)
