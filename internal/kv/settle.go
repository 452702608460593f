package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Verdict classifies a value that was read back: it states whether the value
// shows that a write took effect.
type Verdict int

// VerdictApplied means that the value proves that the write took effect, VerdictNotApplied that
// it proves the opposite. VerdictInconclusive means that it proves neither, because the
// key has been overwritten since.
const (
	VerdictInconclusive Verdict = iota
	VerdictApplied
	VerdictNotApplied
)

// Attempt is one compare-and-swap, distinguishable from every other by the
// nonce in its value.
type Attempt struct {
	// Key is the key to write.
	Key string
	// Expected is the revision that the key must have for the write to take effect.
	Expected int64
	// Value is the new value. It contains a nonce that no other attempt uses.
	Value []byte
	// Lease is the lease that the value is attached to, or NoLease.
	Lease LeaseID
	// Classify classifies a value of the key that was written after Expected.
	Classify func(value []byte) Verdict
	// Resend allows the same bytes to be sent again while the outcome is
	// unknown. At most one of these requests can take effect, because the first
	// one that does changes the revision. If Resend is false, the outcome stays
	// Unknown while the revision is unchanged, because the request may still be
	// in transit.
	Resend bool
	// Sleep waits between two reads and reports whether ctx is still active. The
	// default waits in real time; a test harness with simulated time supplies
	// its own.
	Sleep func(ctx context.Context, d time.Duration) bool

	faults settleFaults
}

// settleFaults disables single rules of Settle. Tests use it to verify that the
// oracle detects the violation.
type settleFaults struct {
	unknownIsFailure bool
	unmovedIsFailure bool
	refusalIsFailure bool
}

// Bounds of the exponential backoff between two reads of an unknown outcome.
const (
	settleFirstPause = 5 * time.Millisecond
	settleMaxPause   = 500 * time.Millisecond
)

// Settle makes an attempt and, if its answer is lost, reads the key back until
// the outcome is known or ctx ends. If ctx ends first it returns Unknown, never
// a guess. An error is that of CompareAndSwap and means that nothing was sent.
func Settle(ctx context.Context, s Store, a Attempt) (Result, error) {
	result, err := s.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, a.Lease)
	if err != nil {
		return result, err
	}
	if a.faults.unknownIsFailure && result.Outcome == Unknown {
		return Result{Outcome: NoEffect}, nil
	}
	if result.Outcome != Unknown {
		return attributeConflict(a, result), nil
	}
	wait := a.Sleep
	if wait == nil {
		wait = sleep
	}
	for pause := settleFirstPause; wait(ctx, Jitter(pause)); pause = min(2*pause, settleMaxPause) {
		result, settled := readBack(ctx, s, a)
		if settled {
			return attributeConflict(a, result), nil
		}
	}
	return Result{Outcome: Unknown}, nil
}

// readBack reads the key, and resends the write if that is allowed and the
// revision is unchanged. It reports whether the result is final, that is,
// whether further reads cannot add information.
func readBack(ctx context.Context, s Store, a Attempt) (Result, bool) {
	entry, err := s.Get(ctx, a.Key)
	absent := errors.Is(err, ErrNotFound)
	switch {
	case absent && a.Expected != RevisionAbsent:
		// The key was deleted with its lease, including any value of this attempt.
		return Result{Outcome: Unknown}, true
	case err != nil && !absent:
		return Result{}, false
	case entry.Revision != a.Expected:
		return Result{Outcome: NoEffect, Current: &entry}, true
	case a.faults.unmovedIsFailure:
		return Result{Outcome: NoEffect}, true
	case !a.Resend:
		return Result{}, false
	}
	result, err := s.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, a.Lease)
	if err != nil || result.Outcome == Unknown {
		// This request may not have been sent, but the first may still arrive.
		return Result{}, false
	}
	if result.Outcome == NoEffect && result.Current == nil {
		return Result{Outcome: Unknown}, true
	}
	return result, true
}

// attributeConflict checks whether the value that caused a refusal is the
// attempt's own: after a lost answer, the conflicting value may be the one that
// this attempt wrote.
func attributeConflict(a Attempt, r Result) Result {
	if r.Outcome != NoEffect || r.Current == nil || a.faults.refusalIsFailure {
		return r
	}
	switch a.Classify(r.Current.Value) {
	case VerdictApplied:
		return Result{Outcome: TookEffect, Revision: r.Current.Revision}
	case VerdictNotApplied:
		return r
	default:
		return Result{Outcome: Unknown, Current: r.Current}
	}
}

// Jitter returns a random duration between d/2 and d, so that many clients that
// failed at the same time do not retry at the same time.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}

// sleep waits for d or until ctx ends, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
