package configsync

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
)

var (
	keyA = configstate.DigestKey("a")
	keyB = configstate.DigestKey("b")
)

func documentText(rate int, digests ...string) string {
	doc := fmt.Sprintf("environment: test\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", rate)
	for i, digest := range digests {
		doc += fmt.Sprintf("  - {id: k%d, sha256: %s}\n", i, digest)
	}
	return doc
}

// startSyncers runs n syncers with one store inside a synctest bubble.
func startSyncers(t *testing.T, store kv.Store, n int) []*Syncer {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	syncers := make([]*Syncer, n)
	for i := range syncers {
		syncers[i] = NewSyncer(Options{Store: store, Environment: "test"})
		go func() { ended <- syncers[i].Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			require.NoError(t, <-ended)
		}
	})
	return syncers
}

func newWriter(store kv.Store) *Writer { return &Writer{Store: store, Environment: "test"} }

func apply(t *testing.T, store kv.Store, base int64, doc string) *Accepted {
	accepted, err := newWriter(store).Apply(context.Background(), Change{ID: fmt.Sprint("change-", base+1)}, base, doc)
	require.NoError(t, err)
	return accepted
}

func requireVersion(t *testing.T, syncers []*Syncer, version int64) {
	t.Helper()
	for _, s := range syncers {
		require.NotNil(t, s.Snapshot())
		require.Equal(t, version, s.Snapshot().Version)
	}
}

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		syncers := startSyncers(t, store, 7)
		synctest.Wait()
		require.Nil(t, syncers[0].Snapshot())
		apply(t, store, 0, documentText(1))
		time.Sleep(time.Second)
		requireVersion(t, syncers, 1)
		apply(t, store, 1, documentText(2))
		synctest.Wait()
		requireVersion(t, syncers, 2)
		require.True(t, syncers[0].Fresh())
	})
}

// A network element between a VM and the service drops the watch's connection
// without an error. Without polling, a configuration or withdrawal would never
// arrive.
func TestPollDetectsSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		syncers := startSyncers(t, store, 7)
		time.Sleep(time.Second)
		requireVersion(t, syncers, 1)
		store.UpdateFaults(func(f *kvtest.Faults) { f.SilentWatch = true })
		apply(t, store, 1, documentText(2))
		time.Sleep(2 * DefaultPollInterval)
		requireVersion(t, syncers, 2)
	})
}

// The service is down for a long time. The configuration stays in force, but a VM
// that also reaches no majority of its peers refuses work, since a key may have
// been withdrawn.
func TestOutageKeepsConfigurationAndEndsFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		s := startSyncers(t, store, 1)[0]
		time.Sleep(time.Second)
		store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
		store.BreakWatches()
		time.Sleep(time.Hour)
		require.EqualValues(t, 1, s.Snapshot().Version)
		require.False(t, s.Fresh())
		s.options.HasPeerMajority = func() bool { return true }
		require.True(t, s.Fresh())
		s.options.HasPeerMajority = func() bool { return false }
		store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = false })
		apply(t, store, 1, documentText(2))
		time.Sleep(2*DefaultMaxBackoff + DefaultPollInterval)
		require.EqualValues(t, 2, s.Snapshot().Version)
		require.True(t, s.Fresh())
	})
}

// A key leaks while the service is down. The withdrawal is pushed to the VMs and
// takes effect at once. One VM misses the push: its sum of withdrawals differs from
// that of its peers, and the envelope of a peer delivers the withdrawal to it. When
// the service is back, the VMs write the withdrawal there by themselves.
func TestLocalWithdrawalSpreadsAndBecomesDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1, keyA, keyB))
		syncers := startSyncers(t, store, 7)
		time.Sleep(time.Second)
		store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
		for _, s := range syncers[:6] {
			require.NoError(t, s.Withdraw(ctx, []string{keyA}))
			_, err := s.Snapshot().Authenticate(keyA)
			require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)
			require.Equal(t, 1, s.PendingWithdrawals())
		}
		require.NotEqual(t, syncers[0].Snapshot().WithdrawnSum(), syncers[6].Snapshot().WithdrawnSum())
		_, ahead := syncers[0].Envelope()
		require.NoError(t, syncers[6].Offer(ctx, ahead))
		require.Equal(t, syncers[0].Snapshot().WithdrawnSum(), syncers[6].Snapshot().WithdrawnSum())
		_, err := syncers[6].Snapshot().Authenticate(keyA)
		require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)

		time.Sleep(time.Minute)
		store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = false })
		time.Sleep(10 * time.Second)
		e, err := newWriter(store).Current(ctx)
		require.NoError(t, err)
		require.Equal(t, []string{keyA}, e.Withdrawn)
		require.EqualValues(t, 2, e.Version, "only one of the seven VMs must write the withdrawal")
		requireVersion(t, syncers, 2)
		require.Zero(t, syncers[3].PendingWithdrawals())
	})
}

// The service is restored from an old copy. The VMs ignore its lower version and
// write the configuration in force back to it. The next change comes into force
// everywhere although its revision is lower than revisions read before.
func TestServiceRollbackIsRecovered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		old := store.Snapshot()
		for v := int64(1); v < 5; v++ {
			apply(t, store, v, documentText(int(v)+1, keyA))
		}
		syncers := startSyncers(t, store, 7)
		time.Sleep(time.Second)
		requireVersion(t, syncers, 5)
		store.Restore(old)
		time.Sleep(3 * time.Second)
		requireVersion(t, syncers, 5)
		require.EqualValues(t, 5, currentEnvelope(t, store).Version)
		_, err := newWriter(store).Apply(context.Background(), Change{ID: "x"}, 1, documentText(9))
		require.ErrorIs(t, err, ErrConflict)
		apply(t, store, 5, documentText(6))
		time.Sleep(2 * DefaultPollInterval)
		requireVersion(t, syncers, 6)
		require.True(t, syncers[0].Fresh())
	})
}

// A document of a newer release has a field that this build does not support. The
// configuration stays in force, but the withdrawal in the same envelope takes
// effect.
func TestUnreadableDocumentStillAppliesWithdrawals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		first := apply(t, store, 0, documentText(1, keyA))
		s := startSyncers(t, store, 1)[0]
		time.Sleep(time.Second)
		next := *first.Envelope
		next.Version, next.Nonce = 2, "newer"
		next.Document += "a_field_of_a_newer_release: 1\n"
		next.Digest = document.Digest([]byte(next.Document))
		next.Withdrawn = []string{keyA}
		data, err := next.Encode()
		require.NoError(t, err)
		_, err = store.CompareAndSwap(context.Background(), Key("test"), first.Revision, data, kv.NoLease)
		require.NoError(t, err)
		time.Sleep(2 * DefaultPollInterval)
		require.EqualValues(t, 1, s.Snapshot().Version)
		_, err = s.Snapshot().Authenticate(keyA)
		require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)
	})
}

// In a large fleet most VMs keep no watch and receive changes from their peers. A
// VM that receives a change from no peer still finds it by its own poll. When the
// watching VMs of its failure domain fail, a VM opens a watch.
func TestVMWithoutWatchConverges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, documentText(1))
		var watches atomic.Bool
		s := NewSyncer(Options{Store: store, Environment: "test", Watches: watches.Load})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		time.Sleep(time.Second)
		requireVersion(t, []*Syncer{s}, 1)
		require.Zero(t, store.Calls().Watches)
		before := store.Calls().Reads
		time.Sleep(time.Minute)
		require.Less(t, store.Calls().Reads-before, int(time.Minute/DefaultPollInterval)/4)
		apply(t, store, 1, documentText(2))
		time.Sleep(2 * NoWatchPollFactor * DefaultPollInterval)
		requireVersion(t, []*Syncer{s}, 2)
		watches.Store(true)
		time.Sleep(time.Second)
		apply(t, store, 2, documentText(3))
		synctest.Wait()
		requireVersion(t, []*Syncer{s}, 3)
		watches.Store(false)
		time.Sleep(time.Second)
		apply(t, store, 3, documentText(4))
		synctest.Wait()
		requireVersion(t, []*Syncer{s}, 3)
		cancel()
		require.NoError(t, <-ended)
	})
}
