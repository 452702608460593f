package claims

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/claim"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/peer"
)

// fleet is several VMs that share one key-value service and query each other without
// a network.
type fleet struct {
	store *kvtest.Memory
	mu    sync.Mutex
	vms   map[string]*Claims
	// forwardedOps counts the operations executed for another VM.
	forwardedOps atomic.Int64
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{store: kvtest.NewMemory(nil), vms: make(map[string]*Claims)}
	for _, name := range names {
		f.start(t, name)
	}
	return f
}

// start starts or restarts a VM's process.
func (f *fleet) start(t *testing.T, name string) *Claims {
	c := New(Options{Store: f.store, Environment: "test", VM: name, Querier: f, Timeout: time.Second, Forwarder: f, Preferred: f.preferred})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms[name] = c
	return c
}

func (f *fleet) preferred(shard int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return claim.Preferred(shard, slices.Sorted(maps.Keys(f.vms)))
}

// Submit implements Forwarder. Every third reply is lost.
func (f *fleet) Submit(ctx context.Context, vm string, op claim.Op) (claim.Verdict, error) {
	f.mu.Lock()
	c := f.vms[vm]
	f.mu.Unlock()
	v := c.ExecuteForwarded(ctx, op)
	if f.forwardedOps.Add(1)%3 == 0 {
		return claim.Verdict{}, peer.ErrUnreachable
	}
	return v, nil
}

// QueryAttempt implements AttemptQuerier.
func (f *fleet) QueryAttempt(_ context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, answer := f.vms[vm].State(attempt)
	return state, answer, nil
}

// runAction claims a key and runs its action, or abandons the attempt if abandon is
// set.
func runAction(c *Claims, key string, abandon bool, executed func(string)) error {
	attempt, err := c.Claim(context.Background(), "team", key, "body")
	if err != nil {
		return err
	}
	if abandon {
		attempt.Abandon()
		return ErrUnavailable
	}
	if !attempt.Dispatch() {
		return ErrUnavailable
	}
	executed(key)
	attempt.Complete(200, "text/plain", []byte("answer to "+key))
	return nil
}

// Guards against an action that runs twice and against a key that can never run.
// Callers retry the same action at three VMs concurrently, while the key-value
// service loses requests and answers and executes writes late, and replies between
// the VMs are lost too.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	var mu sync.Mutex
	count := make(map[string]int)
	executed := func(key string) {
		mu.Lock()
		defer mu.Unlock()
		count[key]++
	}
	const keys = 24
	var wg sync.WaitGroup
	for i := range keys {
		for _, c := range f.vms {
			wg.Go(func() {
				for try := range 4 {
					key := fmt.Sprint("key-", i)
					if runAction(c, key, try == 0 && i%3 == 0, executed) == nil {
						return
					}
				}
			})
		}
	}
	for range 20 {
		f.store.UpdateFaults(func(x *kvtest.Faults) { x.LoseAnswers, x.HoldRequests, x.LoseRequests = 2, 1, 1 })
		time.Sleep(10 * time.Millisecond)
		f.store.Release(nil)
	}
	f.store.UpdateFaults(func(x *kvtest.Faults) { *x = kvtest.Faults{} })
	wg.Wait()
	for i := range keys {
		key := fmt.Sprint("key-", i)
		err := runAction(f.vms["b"], key, false, executed)
		var answered *AnsweredError
		if err != nil {
			require.ErrorAs(t, err, &answered)
			require.Equal(t, "answer to "+key, string(answered.Answer.Body))
		}
		require.Equal(t, 1, count[key], key)
	}
}

// delayedQuerier runs beforeQuery before each query, so that the claimant can store the
// answer and forget the attempt first.
type delayedQuerier struct {
	*fleet
	beforeQuery func()
}

// QueryAttempt implements AttemptQuerier.
func (s delayedQuerier) QueryAttempt(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	s.beforeQuery()
	return s.fleet.QueryAttempt(ctx, vm, attempt)
}

// Guards against reporting "outcome unknown" for an action that was answered. A retry
// reads the claim, and the claimant stores the answer and forgets the attempt before
// the retry queries it. This happened in one of 15 runs of
// TestConcurrentRetriesRunOnce.
func TestAnswerStoredBetweenReadAndQuery(t *testing.T) {
	f := newFleet(t, "a", "b")
	attempt, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
	f.vms["b"].options.Querier = delayedQuerier{fleet: f, beforeQuery: sync.OnceFunc(func() {
		attempt.Complete(200, "text/plain", []byte("receipt"))
		require.NoError(t, f.vms["a"].Flush(t.Context()))
	})}
	_, err = f.vms["b"].Claim(t.Context(), "team", "k", "body")
	var answered *AnsweredError
	require.ErrorAs(t, err, &answered)
	require.Equal(t, "receipt", string(answered.Answer.Body))
}

// Guards against running an action a second time after the claimant crashed between
// dispatch and answer. Whether the action ran is unknown, and a retry must report
// that.
func TestClaimantCrashLeavesOutcomeUnknown(t *testing.T) {
	f := newFleet(t, "a", "b")
	attempt, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
	_, err = f.vms["b"].Claim(t.Context(), "team", "k", "body")
	require.ErrorIs(t, err, ErrInProgress)
	f.start(t, "a")
	for _, name := range []string{"a", "b"} {
		_, err = f.vms[name].Claim(t.Context(), "team", "k", "body")
		require.ErrorIs(t, err, ErrOutcomeUnknown)
	}
	_, err = f.vms["b"].Claim(t.Context(), "team", "k", "another body")
	require.ErrorIs(t, err, ErrKeyReused)
	_, err = f.vms["b"].Claim(t.Context(), "another team", "k", "body")
	require.NoError(t, err)
}

// Guards against running a refused action. An action is refused during an outage of
// the key-value service and must not run once the service is back; the caller's next
// request runs it.
func TestOutageRefusesActions(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.UpdateFaults(func(x *kvtest.Faults) { x.Outage = true })
	_, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.ErrorIs(t, err, ErrUnavailable)
	f.store.UpdateFaults(func(x *kvtest.Faults) { x.Outage = false })
	attempt, err := f.vms["b"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
	require.False(t, attempt.Dispatch())
}

// Guards against a key that is locked for a day. The write of a claim takes effect
// after its sender has timed out, so the claim belongs to an attempt that never runs.
func TestLateClaimIsTakenOver(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.UpdateFaults(func(x *kvtest.Faults) { x.HoldRequests = 1000 })
	_, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.ErrorIs(t, err, ErrUnavailable)
	f.store.UpdateFaults(func(x *kvtest.Faults) { x.HoldRequests = 0 })
	f.store.Release(nil)
	attempt, err := f.vms["b"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
}

// Queries and forwarded operations reach the VM that made the attempt over gRPC.
func TestPeerQueriesAndForwardingOverGRPC(t *testing.T) {
	f := newFleet(t, "a")
	security := peer.Security{AllowPlainText: true}
	server, err := peer.NewServer(security)
	require.NoError(t, err)
	f.vms["a"].Register(server.Registrar())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener, time.Second) }()
	pool, err := peer.NewPool(security)
	require.NoError(t, err)
	defer pool.Close()
	asker := PeerClient{Pool: pool, Address: func(vm string) string {
		return map[string]string{"a": listener.Addr().String()}[vm]
	}}
	attempt, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	id := attempt.record.Attempt
	state, _, err := asker.QueryAttempt(t.Context(), "a", id)
	require.NoError(t, err)
	require.Equal(t, claim.Waiting, state)
	require.True(t, attempt.Abandon())
	state, _, err = asker.QueryAttempt(t.Context(), "a", id)
	require.NoError(t, err)
	require.Equal(t, claim.Abandoned, state)
	takeOver := attempt.record
	takeOver.Attempt = "another"
	v, err := asker.Submit(t.Context(), "a", claim.Op{Kind: claim.TakeOver, Record: takeOver, From: id})
	require.NoError(t, err)
	require.True(t, v.Granted)
	v, err = asker.Submit(t.Context(), "a", claim.Op{Kind: claim.Claim, Record: attempt.record})
	require.NoError(t, err)
	require.Equal(t, "another", v.Found.Attempt)
	require.WithinDuration(t, takeOver.ClaimedAt, v.Found.ClaimedAt, 0)
	_, _, err = asker.QueryAttempt(t.Context(), "gone", id)
	require.ErrorIs(t, err, ErrUnknownVM)
	cancel()
	require.NoError(t, errors.WithStack(<-served))
}

// slowStore is a key-value service whose writes take two milliseconds.
type slowStore struct{ *kvtest.Memory }

// CompareAndSwap implements kv.Store.
func (s slowStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease kv.LeaseID) (kv.Result, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Memory.CompareAndSwap(ctx, key, expected, value, lease)
}

// BenchmarkAction runs keyed actions one after the other with a key-value service
// whose writes take 2 ms. The caller gets the answer either while it is being stored
// or, with stored=true, only once it is stored.
func BenchmarkAction(b *testing.B) {
	for _, stored := range []bool{false, true} {
		b.Run(fmt.Sprintf("stored=%t", stored), func(b *testing.B) {
			store := kvtest.NewMemory(nil)
			c := New(Options{Store: slowStore{store}, Environment: "test", VM: "a"})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = c.Run(ctx) }()
			b.ReportAllocs()
			for i := range b.N {
				attempt, err := c.Claim(ctx, "team", fmt.Sprint(i), "body")
				if err != nil {
					b.Fatal(err)
				}
				attempt.Dispatch()
				attempt.Complete(200, "text/plain", nil)
				if stored {
					_ = c.Flush(ctx)
				}
			}
			b.StopTimer()
			_ = c.Flush(ctx)
			b.ReportMetric(float64(store.Calls().Writes)/float64(b.N), "writes/action")
		})
	}
}
