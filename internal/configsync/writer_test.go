package configsync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// Two operators change version 1 at once. The second is told what the first
// one did instead of writing over it.
func TestLoserOfARaceGetsTheDifference(t *testing.T) {
	store := kvtest.NewMemory(nil)
	apply(t, store, 0, text(1))
	apply(t, store, 1, text(2))
	_, err := writer(store).Apply(context.Background(), Change{ID: "second"}, 1, text(3))
	require.ErrorIs(t, err, ErrConflict)
	var lost *ConflictError
	require.ErrorAs(t, err, &lost)
	require.EqualValues(t, 2, lost.Version)
	require.Equal(t, "change-2", lost.ChangeID)
	require.Equal(t, []document.Change{{Kind: document.Changed, Path: "teams[t].rate", Before: "2", After: "3"}}, lost.Changes)
}

// The answer to an accepted change is lost. The operator is told that it took
// effect and does not apply it again.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		store.Change(func(f *kvtest.Faults) { f.LoseAnswers = 2 })
		accepted := apply(t, store, 1, text(2))
		require.EqualValues(t, 2, accepted.Envelope.Version)
		store.Change(func(f *kvtest.Faults) { f.LoseRequests = 3 })
		accepted = apply(t, store, 2, text(3))
		require.EqualValues(t, 3, accepted.Envelope.Version)
	})
}

// The request hangs on its way and the service is not heard any more. To say
// that it failed would be a guess: it arrives an hour later.
func TestUnknownIsNotCalledFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		apply(t, store, 1, text(2))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c := Change{ID: "slow", Nonce: "n"}
		// The version before it is in the history already, so the write that is
		// held is the change's.
		require.NoError(t, writer(store).keep(ctx, accepted(t, store)))
		store.Change(func(f *kvtest.Faults) { f.HoldRequests = 1000 })
		_, err := writer(store).Apply(ctx, c, 2, text(3))
		require.ErrorIs(t, err, ErrUnknown)
		outcome, _, err := writer(store).Outcome(context.Background(), c, 2)
		require.NoError(t, err)
		require.Equal(t, kv.Unknown, outcome)

		store.Change(func(f *kvtest.Faults) { f.HoldRequests = 0 })
		store.Release(nil)
		apply(t, store, 3, text(4))
		apply(t, store, 4, text(5))
		outcome, e, err := writer(store).Outcome(context.Background(), c, 2)
		require.NoError(t, err)
		require.Equal(t, kv.TookEffect, outcome)
		require.EqualValues(t, 3, e.Version)
		repeated, err := writer(store).Apply(context.Background(), c, 2, text(3))
		require.NoError(t, err)
		require.EqualValues(t, 3, repeated.Envelope.Version, "a repeated command changes nothing twice")
		outcome, _, err = writer(store).Outcome(context.Background(), Change{ID: "other", Nonce: "o"}, 2)
		require.NoError(t, err)
		require.Equal(t, kv.DidNot, outcome)
	})
}

func accepted(t *testing.T, store kv.Store) *configstate.Envelope {
	e, err := writer(store).Current(context.Background())
	require.NoError(t, err)
	return e
}

// An operator applies last week's document, which still lists a key that was
// withdrawn since.
func TestDocumentThatListsAWithdrawnKeyIsRefused(t *testing.T) {
	store := kvtest.NewMemory(nil)
	apply(t, store, 0, text(1, keyA))
	done, err := writer(store).Withdraw(context.Background(), Change{ID: "w"}, []string{keyA})
	require.NoError(t, err)
	require.EqualValues(t, 2, done.Envelope.Version)
	_, err = writer(store).Apply(context.Background(), Change{ID: "old"}, 2, text(2, keyA))
	require.ErrorIs(t, err, configstate.ErrWithdrawnListed)
	after := apply(t, store, 2, text(2, keyB))
	require.Equal(t, []string{keyA}, after.Envelope.Withdrawn)
}

func TestHistoryKeepsEveryAcceptedVersion(t *testing.T) {
	store := kvtest.NewMemory(nil)
	const versions = HistorySlots + 10
	for v := range int64(versions) {
		apply(t, store, v, text(int(v)+1))
	}
	list, err := writer(store).History(context.Background(), 5)
	require.NoError(t, err)
	require.Len(t, list, 5)
	require.EqualValues(t, versions, list[0].Version)
	require.EqualValues(t, versions-4, list[4].Version)
	e, err := writer(store).Version(context.Background(), versions-HistorySlots+1)
	require.NoError(t, err)
	require.EqualValues(t, versions-HistorySlots+1, e.Version)
	_, err = writer(store).Version(context.Background(), 1)
	require.ErrorIs(t, err, ErrNotKept)
}

func TestApplyRefusesAnotherEnvironment(t *testing.T) {
	w := &Writer{Store: kvtest.NewMemory(nil), Environment: "production"}
	_, err := w.Apply(context.Background(), Change{ID: "x"}, 0, text(1))
	require.ErrorIs(t, err, ErrEnvironment)
	_, err = w.Withdraw(context.Background(), Change{ID: "x"}, []string{keyA})
	require.ErrorIs(t, err, ErrNothingAccepted)
}

// Three models of 8GiB add up to what two engines of 12GiB have, but only two of
// them find a place. Accepted, one of them would be unreachable.
func TestApplyRefusesWhatNoPlacementHolds(t *testing.T) {
	doc := text(1) + "weight_store: {loads_per_second: 1, concurrent_loads: 1}\nmodels:\n"
	for _, name := range []string{"x", "y", "z"} {
		doc += fmt.Sprintf("- {name: %s, version: v1, memory: 8GiB}\n", name)
	}
	doc += "engines:\n"
	for i := range 2 {
		doc += fmt.Sprintf("- {name: e%d, url: \"http://127.0.0.1:%d\", failure_domain: a, memory: 13GiB, kv_cache_reserve: 1GiB, fencing: ignored}\n", i, i+1)
	}
	_, err := writer(kvtest.NewMemory(nil)).Apply(context.Background(), Change{ID: "x"}, 0, doc)
	require.ErrorIs(t, err, placement.ErrDoesNotFit)
	require.ErrorContains(t, err, "models 24.00GiB + adapters 0.00GiB = 24.00GiB; engines 26.00GiB - KV-cache reserve 2.00GiB = 24.00GiB")
}
