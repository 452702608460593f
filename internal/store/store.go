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
	// ErrRestored means that the store came back from a copy between the call and what the call refers to: a lease,
	// a condition, an earlier page or a later answer. A change may have been lost, or made although a condition did
	// not hold as it was meant.
	ErrRestored = errors.New("store: the store came back from a copy")
	// ErrMalformed means that the answer could not be parsed.
	ErrMalformed = errors.New("store: malformed answer")
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision Revision
	// Created is the store's revision at which the key came to exist, zero if it is not known.
	Created Revision
	Lease   LeaseID
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
	Revision Revision
}

// Events is the result of a watch.
type Events struct {
	Events []Event
	// Revision is the revision from which the next watch continues.
	Revision Revision
}

// Condition holds while the key has the given revision. Revision 0 means that the
// key does not exist.
type Condition struct {
	Key      string
	Revision Revision
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
	// if the history does not reach back that far, or the revision is of an era that has ended.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Events, error)
	// Commit makes a change and returns its revision. After ErrUnknown, only a read
	// can determine whether it was made. With ErrRestored it returns the revision of a change
	// that was made in a later era than its conditions or leases are of, or zero.
	Commit(ctx context.Context, change Change) (Revision, error)
	// Grant creates a lease and returns its ID and the time to live in effect.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew keeps a lease from expiring. It returns ErrRestored if the lease was named in an
	// era that has ended: whether it was in the copy is to be read from a key that is bound to it.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Era returns the newest era that is known, from answers or from RaiseEra.
	Era() Era
	// RaiseEra records that others have heard of an era. An earlier one than the known is ignored.
	RaiseEra(era Era)
}
