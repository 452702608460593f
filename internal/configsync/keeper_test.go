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

func text(rate int, digests ...string) string {
	doc := fmt.Sprintf("environment: test\nfailure_domains: [a]\nteams:\n- name: t\n  rate: %d\n  burst: 10\n  keys:\n", rate)
	for i, digest := range digests {
		doc += fmt.Sprintf("  - {id: k%d, sha256: %s}\n", i, digest)
	}
	return doc
}

// start runs n keepers over one store inside a synctest bubble.
func start(t *testing.T, store kv.Store, n int) []*Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, n)
	keepers := make([]*Keeper, n)
	for i := range keepers {
		keepers[i] = NewKeeper(Options{Store: store, Environment: "test"})
		go func() { ended <- keepers[i].Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			require.NoError(t, <-ended)
		}
	})
	return keepers
}

func writer(store kv.Store) *Writer { return &Writer{Store: store, Environment: "test"} }

func apply(t *testing.T, store kv.Store, base int64, doc string) *Accepted {
	accepted, err := writer(store).Apply(context.Background(), Change{ID: fmt.Sprint("change-", base+1)}, base, doc)
	require.NoError(t, err)
	return accepted
}

func requireVersion(t *testing.T, keepers []*Keeper, version int64) {
	t.Helper()
	for _, k := range keepers {
		require.NotNil(t, k.Snapshot())
		require.Equal(t, version, k.Snapshot().Version)
	}
}

func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		keepers := start(t, store, 7)
		synctest.Wait()
		require.Nil(t, keepers[0].Snapshot())
		apply(t, store, 0, text(1))
		time.Sleep(time.Second)
		requireVersion(t, keepers, 1)
		apply(t, store, 1, text(2))
		synctest.Wait()
		requireVersion(t, keepers, 2)
		require.True(t, keepers[0].Fresh())
	})
}

// Something between a VM and the service forgets the watch's connection. No
// error comes, and a configuration or withdrawal would never arrive.
func TestSilentWatchIsFoundByThePoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		keepers := start(t, store, 7)
		time.Sleep(time.Second)
		requireVersion(t, keepers, 1)
		store.Change(func(f *kvtest.Faults) { f.SilentWatch = true })
		apply(t, store, 1, text(2))
		time.Sleep(2 * DefaultPollInterval)
		requireVersion(t, keepers, 2)
	})
}

// The service is out for a long time. The configuration in force goes on, but a
// VM that hears nobody refuses work, since a key may have been withdrawn.
func TestOutageKeepsConfigurationAndEndsFreshness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		k := start(t, store, 1)[0]
		time.Sleep(time.Second)
		store.Change(func(f *kvtest.Faults) { f.Outage = true })
		store.BreakWatches()
		time.Sleep(time.Hour)
		require.EqualValues(t, 1, k.Snapshot().Version)
		require.False(t, k.Fresh())
		k.options.HearsPeers = func() bool { return true }
		require.True(t, k.Fresh())
		k.options.HearsPeers = func() bool { return false }
		store.Change(func(f *kvtest.Faults) { f.Outage = false })
		apply(t, store, 1, text(2))
		time.Sleep(2*DefaultMaxBackoff + DefaultPollInterval)
		require.EqualValues(t, 2, k.Snapshot().Version)
		require.True(t, k.Fresh())
	})
}

// A key leaks while the service is down. The withdrawal is pushed to the VMs
// and holds at once. One VM was missed by the push: its sum of withdrawals differs
// from its peers', whose envelope teaches it.
// When the service is back, the withdrawal becomes durable by itself.
func TestHeldWithdrawalSpreadsAndBecomesDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1, keyA, keyB))
		keepers := start(t, store, 7)
		time.Sleep(time.Second)
		store.Change(func(f *kvtest.Faults) { f.Outage = true })
		for _, k := range keepers[:6] {
			require.NoError(t, k.Withdraw(ctx, []string{keyA}))
			_, err := k.Snapshot().Authenticate(keyA)
			require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)
			require.Equal(t, 1, k.PendingWithdrawals())
		}
		require.NotEqual(t, keepers[0].Snapshot().WithdrawnSum(), keepers[6].Snapshot().WithdrawnSum())
		_, ahead := keepers[0].Envelope()
		require.NoError(t, keepers[6].Offer(ctx, ahead))
		require.Equal(t, keepers[0].Snapshot().WithdrawnSum(), keepers[6].Snapshot().WithdrawnSum())
		_, err := keepers[6].Snapshot().Authenticate(keyA)
		require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)

		time.Sleep(time.Minute)
		store.Change(func(f *kvtest.Faults) { f.Outage = false })
		time.Sleep(10 * time.Second)
		e, err := writer(store).Current(ctx)
		require.NoError(t, err)
		require.Equal(t, []string{keyA}, e.Withdrawn)
		require.EqualValues(t, 2, e.Version, "one of seven writes, the others find it done")
		requireVersion(t, keepers, 2)
		require.Zero(t, keepers[3].PendingWithdrawals())
	})
}

// The service came back from an old copy. Its lower version is not taken, the
// VMs give it back what is in force, and the next change is in force everywhere
// although its revision is lower than those that were seen before.
func TestServiceSetBackIsHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		old := store.Image()
		for v := int64(1); v < 5; v++ {
			apply(t, store, v, text(int(v)+1, keyA))
		}
		keepers := start(t, store, 7)
		time.Sleep(time.Second)
		requireVersion(t, keepers, 5)
		store.SetBack(old)
		time.Sleep(3 * time.Second)
		requireVersion(t, keepers, 5)
		require.EqualValues(t, 5, accepted(t, store).Version)
		_, err := writer(store).Apply(context.Background(), Change{ID: "x"}, 1, text(9))
		require.ErrorIs(t, err, ErrConflict)
		apply(t, store, 5, text(6))
		time.Sleep(2 * DefaultPollInterval)
		requireVersion(t, keepers, 6)
		require.True(t, keepers[0].Fresh())
	})
}

// A document of a newer release has a field that this build does not know. What
// is in force goes on, but the withdrawal that came along holds.
func TestUnreadableDocumentStillWithdraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		first := apply(t, store, 0, text(1, keyA))
		k := start(t, store, 1)[0]
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
		require.EqualValues(t, 1, k.Snapshot().Version)
		_, err = k.Snapshot().Authenticate(keyA)
		require.ErrorIs(t, err, configstate.ErrKeyWithdrawn)
	})
}

// In a large fleet most VMs keep no watch. They have changes from their peers,
// and one that hears no peer of a change still finds it by its own poll. When
// the watchers of its failure domain die, a VM becomes one.
func TestVMWithoutWatchFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		apply(t, store, 0, text(1))
		var watches atomic.Bool
		k := NewKeeper(Options{Store: store, Environment: "test", Watches: watches.Load})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		time.Sleep(time.Second)
		requireVersion(t, []*Keeper{k}, 1)
		require.Zero(t, store.Calls().Watches)
		before := store.Calls().Reads
		time.Sleep(time.Minute)
		require.Less(t, store.Calls().Reads-before, int(time.Minute/DefaultPollInterval)/4)
		apply(t, store, 1, text(2))
		time.Sleep(2 * IdlePollFactor * DefaultPollInterval)
		requireVersion(t, []*Keeper{k}, 2)
		watches.Store(true)
		time.Sleep(time.Second)
		apply(t, store, 2, text(3))
		synctest.Wait()
		requireVersion(t, []*Keeper{k}, 3)
		watches.Store(false)
		time.Sleep(time.Second)
		apply(t, store, 3, text(4))
		synctest.Wait()
		requireVersion(t, []*Keeper{k}, 3)
		cancel()
		require.NoError(t, <-ended)
	})
}
