package kv

import (
	"context"
	"time"
)

// Entry is a key's value at one revision.
type Entry struct {
	// Key is the full name.
	Key string
	// Value is at most MaxValueBytes long.
	Value []byte
	// Revision is the store-wide revision of the key's last write. It grows
	// with every write and is never reused.
	Revision int64
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// RevisionAbsent is the expected revision of a key that does not exist.
const RevisionAbsent int64 = 0

// LeaseID names a lease. NoLease means that a value does not expire.
type LeaseID int64

// NoLease attaches a value to no lease.
const NoLease LeaseID = 0

// Outcome says what is known of a write after its answer came or failed to.
type Outcome int

// A write has one of three outcomes. Unknown means that the write may have
// taken effect, may still take effect, or may never.
const (
	Unknown Outcome = iota
	TookEffect
	DidNot
)

// Result is what is known after a compare-and-swap.
type Result struct {
	// Outcome is one of three.
	Outcome Outcome
	// Revision is the key's new revision, with TookEffect.
	Revision int64
	// Current is the entry that stood in the way, with DidNot, where known.
	Current *Entry
}

// Priority orders calls when the call budget is short.
type Priority int

// Claims and withdrawals go before configuration, configuration before status.
const (
	PriorityStatus Priority = iota
	PriorityConfiguration
	PriorityClaim
)

// Store is the seam between the system's decisions and the key-value service.
// Errors are ErrNotFound, ErrUnavailable, ErrTooLarge or ErrLeaseGone, or wrap
// one of them; an unknown outcome is a Result and not an error.
type Store interface {
	// Get reads one key. It returns ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// Revision reads the key's revision without its value, RevisionAbsent if
	// there is none. A poll for changes costs the same small answer whatever
	// the size of the value.
	Revision(ctx context.Context, key string) (int64, error)
	// CompareAndSwap writes value if the key's revision is expected. An error
	// means that nothing was sent: the write did not and will not take effect.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (Result, error)
	// Grant makes a lease that lapses unless kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseGone if it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers the key's entries after a revision, newest last, until
	// ctx ends. A deleted key is delivered with a nil Value. The channel is
	// closed when the watch breaks; the caller reads again and reopens it.
	Watch(ctx context.Context, key string, after int64) (<-chan Entry, error)
}
