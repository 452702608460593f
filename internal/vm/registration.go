package vm

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/store"
)

// This file holds how a VM keeps its registration in the store.

// register keeps this VM's registration in the store until ctx ends, then revokes it.
func (f *fleet) register(ctx context.Context) error {
	value, err := json.Marshal(registration{
		Incarnation: f.incarnation, Callers: f.process.settings.Callers, Peers: f.process.peerAddress(), Domain: f.process.settings.FailureDomain,
		LinkMbps: f.process.settings.LinkMbps,
	})
	if err != nil {
		return errors.Wrap(err, "vm: encode the registration")
	}
	var lease store.LeaseID
	for failures := 0; ctx.Err() == nil; {
		if f.written.takeLoss() {
			f.endLease(ctx, lease)
			lease = store.LeaseID{}
		}
		var kept bool
		if lease, kept = f.keepRegistration(ctx, value, lease); !kept {
			sleep(ctx, f.process.tracker.retryAfter(failures))
			failures++
			continue
		}
		failures = 0
		f.awaitRenewal(ctx)
	}
	f.endLease(ctx, lease)
	return nil
}

// checkRegistration has the registration renewed at once.
func (f *fleet) checkRegistration() {
	select {
	case f.registrationSignal <- struct{}{}:
	default:
	}
}

// awaitRenewal returns when the registration has to be renewed, or ctx has ended.
func (f *fleet) awaitRenewal(ctx context.Context) {
	timer := time.NewTimer(renewInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.registrationSignal:
	}
}

// keepRegistration renews the registration under a lease, or creates it if there is none any more. It returns the
// lease, and false if there is none in the present era: a renewal that fails otherwise has time until the next one.
func (f *fleet) keepRegistration(ctx context.Context, value []byte, lease store.LeaseID) (store.LeaseID, bool) {
	err := error(store.ErrLeaseEnded)
	if !lease.IsZero() {
		err = f.process.store.Renew(ctx, lease)
	}
	if errors.Is(err, store.ErrRestored) {
		lease, err = f.findRegistration(ctx, lease)
	}
	if errors.Is(err, store.ErrLeaseEnded) {
		lease, _ = f.createRegistration(ctx, value)
	}
	return lease, !lease.IsZero() && lease.Era >= f.process.store.Era()
}

// findRegistration looks for the registration after the store came back from a copy, and returns the lease to which it is
// bound. If the copy lacks it, the error is store.ErrLeaseEnded, wrapped: the ID of the lease may be given to another VM.
func (f *fleet) findRegistration(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	key := f.registrationKey()
	listing, err := f.process.store.Range(ctx, key)
	if err != nil {
		return lease, err
	}
	for _, item := range listing.Items {
		var r registration
		if item.Key == key && item.Lease.ID == lease.ID && json.Unmarshal(item.Value, &r) == nil && r.Incarnation == f.incarnation {
			return item.Lease, nil
		}
	}
	return store.LeaseID{}, errors.Wrap(store.ErrLeaseEnded, "find the registration")
}

// createRegistration writes the registration under a new lease.
func (f *fleet) createRegistration(ctx context.Context, value []byte) (store.LeaseID, error) {
	lease, _, err := f.process.store.Grant(ctx, max(registrationLease, f.process.settings.Store.LeaseMin))
	if err != nil {
		return store.LeaseID{}, err
	}
	revision, err := f.process.store.Commit(ctx, store.Change{Puts: []store.Put{{Key: f.registrationKey(), Value: value, Lease: lease}}})
	if err != nil {
		// The store may execute the write later, and would bind the registration to a lease that nobody renews.
		f.endLease(ctx, lease)
		return store.LeaseID{}, err
	}
	f.written.record(lease, revision)
	return lease, nil
}

func (f *fleet) endLease(ctx context.Context, lease store.LeaseID) {
	if !lease.IsZero() {
		_ = f.process.store.Revoke(context.WithoutCancel(ctx), lease)
	}
}

// writtenRegistration is what this VM has last written of its registration, and whether the store still has it.
type writtenRegistration struct {
	mu       sync.Mutex
	lease    store.LeaseID
	revision store.Revision
	lost     bool
}

func (w *writtenRegistration) record(lease store.LeaseID, revision store.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lease, w.revision, w.lost = lease, revision, false
}

// check compares the registration with a view of the store, and reports whether it has to be written again: a view of a
// revision after the write lacks it, or has it under another lease, as after a write that the store executed late. A view
// from a hub does not name leases.
func (w *writtenRegistration) check(item store.Item, present bool, at store.Revision) (lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 || at < w.revision || at.Era() != w.revision.Era() {
		return false
	}
	w.lost = !present || (!item.Lease.IsZero() && item.Lease != w.lease)
	return w.lost
}

// takeLoss reports once whether the registration has to be written again.
func (w *writtenRegistration) takeLoss() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := w.lost
	if lost {
		w.lost, w.revision = false, 0
	}
	return lost
}

func (f *fleet) registrationKey() string { return vmPrefix + f.process.settings.VM }
