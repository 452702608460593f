package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: no such key")
	// ErrConflict means that a condition of a change did not hold. Nothing was
	// written.
	ErrConflict = errors.New("store: a condition of the change does not hold")
	// ErrLeaseEnded means that the lease has expired or was revoked.
	ErrLeaseEnded = errors.New("store: the lease has ended")
	// ErrCompacted means that the history after a revision was compacted: a watch has
	// to start again from a range read.
	ErrCompacted = errors.New("store: the history after the revision was compacted")
	// ErrRefused means that the store rejected the call and did nothing.
	ErrRefused = errors.New("store: the call was turned away")
	// ErrUnknown means that no answer was received. A change may have been made, or
	// may still be made while its conditions hold.
	ErrUnknown = errors.New("store: no answer, the outcome is unknown")
	// ErrMalformed means that the answer could not be parsed.
	ErrMalformed = errors.New("store: malformed answer")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision int64
	Lease    LeaseID
}

// Event is one change of a key.
type Event struct {
	Item
	// Deleted means that the key was deleted; the item then has no value.
	Deleted bool
}

// Listing is the result of a range read.
type Listing struct {
	Items []Item
	// Revision is the store's revision when the first page was read. A watch
	// from this revision misses no change.
	Revision int64
}

// Events is the result of a watch.
type Events struct {
	Events []Event
	// Revision is the revision from which the next watch continues.
	Revision int64
}

// Condition holds while the key has the given revision. Revision 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key, attached to a lease if that is not zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is a transaction: all of its writes are made if all conditions hold, else none.
type Change struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Store is the platform's key-value store. Every method returns one of this
// package's errors, wrapped. It is safe for concurrent use.
type Store interface {
	// Range reads all keys that begin with prefix, over as many pages as needed.
	Range(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes after a revision. It returns ErrCompacted
	// if the history does not reach back that far.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Events, error)
	// Commit makes a change and returns its revision. After ErrUnknown, only a read
	// can determine whether it was made.
	Commit(ctx context.Context, change Change) (int64, error)
	// Grant creates a lease and returns its ID and the time to live in effect.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew keeps a lease from expiring.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
