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
	// changed.
	ErrConflict = errors.New("store: a condition does not hold")
	// ErrLeaseGone means that the lease has ended.
	ErrLeaseGone = errors.New("store: the lease has ended")
	// ErrCompacted means that the history after a revision is gone: a watch has
	// to start again from a range.
	ErrCompacted = errors.New("store: the history is gone")
	// ErrRefused means that the store turned the call away and did nothing.
	ErrRefused = errors.New("store: the call was turned away")
	// ErrUnknown means that no answer came. A change may have been made, or may
	// still be made while its conditions hold.
	ErrUnknown = errors.New("store: no answer")
	// ErrMalformed means that the answer could not be read.
	ErrMalformed = errors.New("store: malformed answer")
)

// LeaseID names a lease. Zero is no lease.
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
	// Deleted means that the key is gone; the item then has no value.
	Deleted bool
}

// Listing is what a range read returned.
type Listing struct {
	Items []Item
	// Revision is the store's revision when the first page was read. A watch
	// from here misses nothing.
	Revision int64
}

// Events is what a watch returned.
type Events struct {
	Events []Event
	// Revision is where the next watch continues.
	Revision int64
}

// Condition holds while the key's revision is the given one. Revision 0 means
// that the key does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Put writes one key, bound to a lease if that is not zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Change is made as a whole or not at all.
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
	// Watch waits for at most wait for changes after a revision. It returns
	// ErrCompacted where the history does not reach back that far.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Events, error)
	// Commit makes a change and returns its revision. After ErrUnknown nobody
	// can know without reading whether it was made.
	Commit(ctx context.Context, change Change) (int64, error)
	// Grant makes a lease and returns its ID and the time to live in force.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// Renew keeps a lease from ending.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
