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

// Two operators change version 1 concurrently. The second one gets the difference
// to the first change instead of overwriting it.
func TestConflictReportsDifference(t *testing.T) {
	store := kvtest.NewMemory(nil)
	apply(t, store, 0, documentText(1))
	apply(t, store, 1, documentText(2))
	_, err := newWriter(store).Apply(context.Background(), Change{ID: "second"}, 1, documentText(3))
	require.ErrorIs(t, err, ErrConflict)
	var conflictErr *ConflictError
	require.ErrorAs(t, err, &conflictErr)
	require.EqualValues(t, 2, conflictErr.Version)
	require.Equal(t, "change-2", conflictErr.ChangeID)
	require.Equal(t, []document.Change{{Kind: document.Changed, Path: "teams[t].rate", Before: "2", After: "3"}}, conflictErr.Changes)
}

// The response to an accepted change is lost. The writer reads the change back and
// reports that it took effect, so the operator does not apply it again.
func TestLostResponseIsSettledByReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		store.UpdateFaults(func(f *kvtest.Faults) { f.LoseAnswers = 2 })
		accepted := apply(t, store, 1, documentText(2))
		require.EqualValues(t, 2, accepted.Envelope.Version)
		store.UpdateFaults(func(f *kvtest.Faults) { f.LoseRequests = 3 })
		accepted = apply(t, store, 2, documentText(3))
		require.EqualValues(t, 3, accepted.Envelope.Version)
	})
}

// A write request is delayed in transit and the service does not respond. The
// outcome must be reported as unknown and not as a failure, because the request may
// still arrive, for example an hour later.
func TestUnknownOutcomeIsNotReportedAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		apply(t, store, 1, documentText(2))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c := Change{ID: "slow", Nonce: "n"}
		// The previous version is already in the history, so the delayed write is
		// that of the change.
		require.NoError(t, newWriter(store).archive(ctx, currentEnvelope(t, store)))
		store.UpdateFaults(func(f *kvtest.Faults) { f.HoldRequests = 1000 })
		_, err := newWriter(store).Apply(ctx, c, 2, documentText(3))
		require.ErrorIs(t, err, ErrUnknown)
		outcome, _, err := newWriter(store).Outcome(context.Background(), c, 2)
		require.NoError(t, err)
		require.Equal(t, kv.Unknown, outcome)

		store.UpdateFaults(func(f *kvtest.Faults) { f.HoldRequests = 0 })
		store.Release(nil)
		apply(t, store, 3, documentText(4))
		apply(t, store, 4, documentText(5))
		outcome, e, err := newWriter(store).Outcome(context.Background(), c, 2)
		require.NoError(t, err)
		require.Equal(t, kv.TookEffect, outcome)
		require.EqualValues(t, 3, e.Version)
		repeated, err := newWriter(store).Apply(context.Background(), c, 2, documentText(3))
		require.NoError(t, err)
		require.EqualValues(t, 3, repeated.Envelope.Version, "a repeated command must not apply its change twice")
		outcome, _, err = newWriter(store).Outcome(context.Background(), Change{ID: "other", Nonce: "o"}, 2)
		require.NoError(t, err)
		require.Equal(t, kv.NoEffect, outcome)
	})
}

func currentEnvelope(t *testing.T, store kv.Store) *configstate.Envelope {
	e, err := newWriter(store).Current(context.Background())
	require.NoError(t, err)
	return e
}

// An operator applies an old document that lists a key which was withdrawn after
// the document was written.
func TestDocumentThatListsAWithdrawnKeyIsRefused(t *testing.T) {
	store := kvtest.NewMemory(nil)
	apply(t, store, 0, documentText(1, keyA))
	done, err := newWriter(store).Withdraw(context.Background(), Change{ID: "w"}, []string{keyA})
	require.NoError(t, err)
	require.EqualValues(t, 2, done.Envelope.Version)
	_, err = newWriter(store).Apply(context.Background(), Change{ID: "old"}, 2, documentText(2, keyA))
	require.ErrorIs(t, err, configstate.ErrWithdrawnListed)
	after := apply(t, store, 2, documentText(2, keyB))
	require.Equal(t, []string{keyA}, after.Envelope.Withdrawn)
}

func TestHistoryRetainsRecentVersions(t *testing.T) {
	store := kvtest.NewMemory(nil)
	const versions = HistorySlots + 10
	for v := range int64(versions) {
		apply(t, store, v, documentText(int(v)+1))
	}
	list, err := newWriter(store).History(context.Background(), 5)
	require.NoError(t, err)
	require.Len(t, list, 5)
	require.EqualValues(t, versions, list[0].Version)
	require.EqualValues(t, versions-4, list[4].Version)
	e, err := newWriter(store).Version(context.Background(), versions-HistorySlots+1)
	require.NoError(t, err)
	require.EqualValues(t, versions-HistorySlots+1, e.Version)
	_, err = newWriter(store).Version(context.Background(), 1)
	require.ErrorIs(t, err, ErrNotInHistory)
}

func TestApplyRefusesAnotherEnvironment(t *testing.T) {
	w := &Writer{Store: kvtest.NewMemory(nil), Environment: "production"}
	_, err := w.Apply(context.Background(), Change{ID: "x"}, 0, documentText(1))
	require.ErrorIs(t, err, ErrEnvironment)
	_, err = w.Withdraw(context.Background(), Change{ID: "x"}, []string{keyA})
	require.ErrorIs(t, err, ErrNothingAccepted)
}

// Three models of 8GiB need as much memory as two engines with 12GiB for weights
// provide, but only two of them can be placed. If the document were accepted, one
// model would be unavailable.
func TestApplyRefusesInfeasiblePlacement(t *testing.T) {
	doc := documentText(1) + "weight_store: {loads_per_second: 1, concurrent_loads: 1}\nmodels:\n"
	for _, name := range []string{"x", "y", "z"} {
		doc += fmt.Sprintf("- {name: %s, version: v1, memory: 8GiB}\n", name)
	}
	doc += "engines:\n"
	for i := range 2 {
		doc += fmt.Sprintf("- {name: e%d, url: \"http://127.0.0.1:%d\", failure_domain: a, memory: 13GiB, kv_cache_reserve: 1GiB, fencing: ignored}\n", i, i+1)
	}
	_, err := newWriter(kvtest.NewMemory(nil)).Apply(context.Background(), Change{ID: "x"}, 0, doc)
	require.ErrorIs(t, err, placement.ErrDoesNotFit)
	require.ErrorContains(t, err, "models 24.00GiB + adapters 0.00GiB = 24.00GiB; engines 26.00GiB - KV-cache reserve 2.00GiB = 24.00GiB")
}
