package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether a value that was read back shows that a write took
// effect.
type Verdict int

// A value shows that the write took effect, shows that it did not, or shows
// neither because it was written over since.
const (
	CannotTell Verdict = iota
	Shows
	ShowsNot
)

// Attempt is one compare-and-swap that can be told from every other, because
// its value carries a nonce.
type Attempt struct {
	// Key is what to write.
	Key string
	// Expected is the revision to replace.
	Expected int64
	// Value carries a nonce that no other attempt has.
	Value []byte
	// Lease may be NoLease.
	Lease LeaseID
	// Mine judges a value of the key, written after Expected.
	Mine func(value []byte) Verdict
	// Resend allows the same bytes to be sent again while the outcome is
	// unknown. At most one of them can take effect, since the revision moves
	// with the first. Without it, an outcome stays Unknown while the key has
	// not moved, since the request may still be on its way.
	Resend bool
	// Sleep waits between two looks and reports whether ctx is still alive. The
	// default waits for real; a harness that steps time supplies its own.
	Sleep func(ctx context.Context, d time.Duration) bool

	faults settleFaults
}

// settleFaults switch off single rules in tests, which show that the oracle
// notices.
type settleFaults struct {
	unknownIsFailure bool
	unmovedIsFailure bool
	refusalIsFailure bool
}

// Pauses between two looks at an unknown outcome.
const (
	settleFirstPause = 5 * time.Millisecond
	settleMaxPause   = 500 * time.Millisecond
)

// Settle makes an attempt and, if its answer is lost, reads back until the
// outcome is known or ctx ends. It returns Unknown then, never a guess. The
// error is that of CompareAndSwap: nothing was sent.
func Settle(ctx context.Context, s Store, a Attempt) (Result, error) {
	result, err := s.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, a.Lease)
	if err != nil {
		return result, err
	}
	if a.faults.unknownIsFailure && result.Outcome == Unknown {
		return Result{Outcome: DidNot}, nil
	}
	if result.Outcome != Unknown {
		return judge(a, result), nil
	}
	wait := a.Sleep
	if wait == nil {
		wait = sleep
	}
	for pause := settleFirstPause; wait(ctx, Jitter(pause)); pause = min(2*pause, settleMaxPause) {
		result, settled := readBack(ctx, s, a)
		if settled {
			return judge(a, result), nil
		}
	}
	return Result{Outcome: Unknown}, nil
}

// readBack looks at the key, and sends again if that is allowed and the key has
// not moved. It reports whether nothing more can be learned.
func readBack(ctx context.Context, s Store, a Attempt) (Result, bool) {
	entry, err := s.Get(ctx, a.Key)
	absent := errors.Is(err, ErrNotFound)
	switch {
	case absent && a.Expected != RevisionAbsent:
		// The key was deleted with its lease, and with it whatever we wrote.
		return Result{Outcome: Unknown}, true
	case err != nil && !absent:
		return Result{}, false
	case entry.Revision != a.Expected:
		return Result{Outcome: DidNot, Current: &entry}, true
	case a.faults.unmovedIsFailure:
		return Result{Outcome: DidNot}, true
	case !a.Resend:
		return Result{}, false
	}
	result, err := s.CompareAndSwap(ctx, a.Key, a.Expected, a.Value, a.Lease)
	if err != nil || result.Outcome == Unknown {
		// This one may not have been sent, but the first may still arrive.
		return Result{}, false
	}
	if result.Outcome == DidNot && result.Current == nil {
		return Result{Outcome: Unknown}, true
	}
	return result, true
}

// judge looks for our own value behind a refusal: after a lost answer, the
// value that stands in the way may be the one that we wrote.
func judge(a Attempt, r Result) Result {
	if r.Outcome != DidNot || r.Current == nil || a.faults.refusalIsFailure {
		return r
	}
	switch a.Mine(r.Current.Value) {
	case Shows:
		return Result{Outcome: TookEffect, Revision: r.Current.Revision}
	case ShowsNot:
		return r
	default:
		return Result{Outcome: Unknown, Current: r.Current}
	}
}

// Jitter returns a random duration from half of d to d, so that many clients
// that failed together do not come back together.
func Jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}

// sleep waits and reports whether ctx is still alive.
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
