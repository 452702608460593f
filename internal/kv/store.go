package kv

import (
	"context"
	"time"
)

// Entry is a key's value at one revision.
type Entry struct {
	// Key is the full name of the key.
	Key string
	// Value is the value, at most MaxValueBytes long.
	Value []byte
	// Revision is the store-wide revision of the key's last write. It grows
	// with every write and is never reused.
	Revision int64
}

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// RevisionAbsent is the expected revision of a key that does not exist.
const RevisionAbsent int64 = 0

// LeaseID identifies a lease. NoLease means that a value does not expire.
type LeaseID int64

// NoLease is the LeaseID of a value that is not attached to a lease.
const NoLease LeaseID = 0

// Outcome states what is known about a write once its answer has arrived or was
// lost.
type Outcome int

// A write has one of three outcomes. Unknown means that the write may have taken
// effect already, may take effect later, or may never take effect.
const (
	Unknown Outcome = iota
	TookEffect
	NoEffect
)

// Result is the result of a compare-and-swap.
type Result struct {
	// Outcome is Unknown, TookEffect or NoEffect.
	Outcome Outcome
	// Revision is the key's new revision if the outcome is TookEffect.
	Revision int64
	// Current is the conflicting entry if the outcome is NoEffect and the entry is
	// known. With Unknown it may hold the entry that proves neither outcome.
	Current *Entry
}

// Priority determines which calls go first when the call budget runs short.
type Priority int

// Priorities, the lowest first: claims and withdrawals take precedence over
// configuration, and configuration over status.
const (
	PriorityStatus Priority = iota
	PriorityConfiguration
	PriorityClaim
)

// Store is the interface between the system's decision logic and the key-value
// service. Errors are ErrNotFound, ErrUnavailable, ErrTooLarge or ErrLeaseGone, or wrap
// one of them; an unknown outcome is a Result and not an error.
type Store interface {
	// Get reads one key. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// Revision reads the key's revision without its value. It returns
	// RevisionAbsent if the key does not exist. The answer is small whatever
	// the size of the value, so polling for changes is cheap.
	Revision(ctx context.Context, key string) (int64, error)
	// CompareAndSwap writes value if the key's revision is expected. An error
	// means that nothing was sent: the write did not and will not take effect.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (Result, error)
	// Grant creates a lease that expires after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseGone if it has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the key's entries after a revision, newest last, until
	// ctx ends. A deletion is delivered as an entry with a nil Value. The
	// channel is closed when the watch breaks; the caller then reads the key
	// and opens a new watch.
	Watch(ctx context.Context, key string, after int64) (<-chan Entry, error)
}
