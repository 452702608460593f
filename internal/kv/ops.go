package kv

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Get reads one key.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	var answer rangeResponse
	err := h.do(ctx, callGet, rangeRequest{Key: []byte(key)}, &answer)
	if err != nil {
		return Entry{}, err
	}
	if len(answer.KVs) == 0 {
		return Entry{}, errors.Wrap(ErrNotFound, key)
	}
	return entryOf(answer.KVs[0]), nil
}

// Revision reads the key's revision without its value.
func (h *HTTP) Revision(ctx context.Context, key string) (int64, error) {
	var answer rangeResponse
	err := h.do(ctx, callRevision, rangeRequest{Key: []byte(key), KeysOnly: true}, &answer)
	if err != nil {
		return 0, err
	}
	if len(answer.KVs) == 0 {
		return RevisionAbsent, nil
	}
	return answer.KVs[0].ModRevision, nil
}

// CompareAndSwap writes value if the key's revision is expected.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (Result, error) {
	if len(value) > MaxValueBytes {
		return Result{Outcome: NoEffect}, errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	request := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []requestOp{{RequestPut: &putRequest{Key: []byte(key), Value: value, Lease: lease}}},
		Failure: []requestOp{{RequestRange: &rangeRequest{Key: []byte(key)}}},
	}
	var answer txnResponse
	err := h.do(ctx, callCAS, request, &answer)
	if err != nil {
		return casFailure(err)
	}
	return casAnswer(answer), nil
}

// casFailure distinguishes a write that was never sent from one that may still
// take effect. A caller that confused the second with the first would repeat an
// action.
func casFailure(err error) (Result, error) {
	var unsent *notSentError
	var budget *BudgetError
	if errors.As(err, &unsent) || errors.As(err, &budget) {
		return Result{Outcome: NoEffect}, err
	}
	var status *StatusError
	if errors.As(err, &status) && definiteRefusal(status.Status) {
		return Result{Outcome: NoEffect}, err
	}
	return Result{Outcome: Unknown}, nil
}

// definiteRefusal reports whether the status means that the service rejected the
// request without executing it. 5xx answers and timeouts may occur after the
// write was proposed.
func definiteRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusTooManyRequests:
		return true
	}
	return false
}

func casAnswer(answer txnResponse) Result {
	if answer.Succeeded {
		if answer.Header == nil {
			return Result{Outcome: Unknown}
		}
		return Result{Outcome: TookEffect, Revision: answer.Header.Revision}
	}
	// An answer without a header does not come from a transaction: the empty
	// object of a broken gateway must not be interpreted as a definite refusal.
	if answer.Header == nil {
		return Result{Outcome: Unknown}
	}
	result := Result{Outcome: NoEffect}
	for _, op := range answer.Responses {
		if op.ResponseRange == nil || len(op.ResponseRange.KVs) == 0 {
			continue
		}
		current := entryOf(op.ResponseRange.KVs[0])
		result.Current = &current
	}
	return result
}

// Grant creates a lease. The service counts in whole seconds, so ttl is rounded up.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var answer leaseGrantResponse
	err := h.do(ctx, callGrant, leaseGrantRequest{TTL: seconds}, &answer)
	if err != nil {
		return NoLease, err
	}
	if answer.ID == NoLease {
		return NoLease, errors.Wrap(ErrUnavailable, "granted lease has no ID")
	}
	return answer.ID, nil
}

// KeepAlive renews a lease.
func (h *HTTP) KeepAlive(ctx context.Context, lease LeaseID) error {
	var answer keepAliveResponse
	err := h.do(ctx, callKeepAlive, leaseRequest{ID: lease}, &answer)
	if err != nil {
		return leaseFailure(err)
	}
	if answer.Result.TTL <= 0 {
		return errors.Wrapf(ErrLeaseGone, "%d", lease)
	}
	return nil
}

// Revoke ends a lease. It returns nil if the lease has already expired or was
// revoked.
func (h *HTTP) Revoke(ctx context.Context, lease LeaseID) error {
	var answer struct{}
	err := leaseFailure(h.do(ctx, callRevoke, leaseRequest{ID: lease}, &answer))
	if errors.Is(err, ErrLeaseGone) {
		return nil
	}
	return err
}

func leaseFailure(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return errors.Wrap(ErrLeaseGone, status.Message)
	}
	return err
}

func entryOf(w wireKeyValue) Entry {
	return Entry{Key: string(w.Key), Value: w.Value, Revision: w.ModRevision}
}
