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

// fleet is several VMs before one key-value service. They ask each other without
// a network.
type fleet struct {
	store *kvtest.Memory
	mu    sync.Mutex
	vms   map[string]*Claims
	// forwards counts the operations that were carried out for another VM.
	forwards atomic.Int64
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{store: kvtest.NewMemory(nil), vms: make(map[string]*Claims)}
	for _, name := range names {
		f.start(t, name)
	}
	return f
}

// start starts a VM's process, or replaces it.
func (f *fleet) start(t *testing.T, name string) *Claims {
	c := New(Options{Store: f.store, Environment: "test", VM: name, Asker: f, Timeout: time.Second, Forwarder: f, Preferred: f.preferred})
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

// Submit implements Forwarder. Every third answer is lost.
func (f *fleet) Submit(ctx context.Context, vm string, op claim.Op) (claim.Verdict, error) {
	f.mu.Lock()
	c := f.vms[vm]
	f.mu.Unlock()
	v := c.Carry(ctx, op)
	if f.forwards.Add(1)%3 == 0 {
		return claim.Verdict{}, peer.ErrUnreachable
	}
	return v, nil
}

// Ask implements Asker.
func (f *fleet) Ask(_ context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, answer := f.vms[vm].State(attempt)
	return state, answer, nil
}

// run claims a key and runs its action, unless it is given up before.
func run(c *Claims, key string, giveUp bool, executed func(string)) error {
	attempt, err := c.Claim(context.Background(), "team", key, "body")
	if err != nil {
		return err
	}
	if giveUp {
		attempt.Abandon()
		return ErrUnavailable
	}
	if !attempt.Dispatch() {
		return ErrUnavailable
	}
	executed(key)
	attempt.Answered(200, "text/plain", []byte("answer to "+key))
	return nil
}

// Callers send the same filing to three VMs at once, again and again, while the
// key-value service loses requests and answers and carries writes out late, and
// answers between the VMs are lost too. The
// registry must see each filing once, and nobody may be left with a key that can
// never run.
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
					if run(c, key, try == 0 && i%3 == 0, executed) == nil {
						return
					}
				}
			})
		}
	}
	for range 20 {
		f.store.Change(func(x *kvtest.Faults) { x.LoseAnswers, x.HoldRequests, x.LoseRequests = 2, 1, 1 })
		time.Sleep(10 * time.Millisecond)
		f.store.Release(nil)
	}
	f.store.Change(func(x *kvtest.Faults) { *x = kvtest.Faults{} })
	wg.Wait()
	for i := range keys {
		key := fmt.Sprint("key-", i)
		err := run(f.vms["b"], key, false, executed)
		var answered *AnsweredError
		if err != nil {
			require.ErrorAs(t, err, &answered)
			require.Equal(t, "answer to "+key, string(answered.Answer.Body))
		}
		require.Equal(t, 1, count[key], key)
	}
}

// stale asks after the claimant has stored the answer and forgotten the attempt.
type stale struct {
	*fleet
	then func()
}

// Ask implements Asker.
func (s stale) Ask(ctx context.Context, vm, attempt string) (claim.State, *claim.Answer, error) {
	s.then()
	return s.fleet.Ask(ctx, vm, attempt)
}

// A retry reads the claim, and before it has asked the claimant the answer is
// stored. The clerk must get the receipt and not "outcome unknown"; one of 15 runs
// of the test above showed this.
func TestAnswerStoredBetweenReadAndQuestion(t *testing.T) {
	f := newFleet(t, "a", "b")
	attempt, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
	f.vms["b"].options.Asker = stale{fleet: f, then: sync.OnceFunc(func() {
		attempt.Answered(200, "text/plain", []byte("receipt"))
		require.NoError(t, f.vms["a"].Flush(t.Context()))
	})}
	_, err = f.vms["b"].Claim(t.Context(), "team", "k", "body")
	var answered *AnsweredError
	require.ErrorAs(t, err, &answered)
	require.Equal(t, "receipt", string(answered.Answer.Body))
}

// The VM dies between dispatch and answer. Nobody knows whether the deposit was
// charged, and a retry must say so instead of charging again.
func TestClaimantThatDiedLeavesTheOutcomeUnknown(t *testing.T) {
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

// The key-value service is down. The action is refused, and is not run when the
// service comes back; the caller's next try then runs it.
func TestOutageRefusesActions(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Change(func(x *kvtest.Faults) { x.Outage = true })
	_, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.ErrorIs(t, err, ErrUnavailable)
	f.store.Change(func(x *kvtest.Faults) { x.Outage = false })
	attempt, err := f.vms["b"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
	require.False(t, attempt.Dispatch())
}

// The write takes effect after its sender has given up. The claim then stands for
// an attempt that never runs, and must not lock the key for a day.
func TestClaimThatArrivedLateIsHandedOver(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.store.Change(func(x *kvtest.Faults) { x.HoldRequests = 1000 })
	_, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.ErrorIs(t, err, ErrUnavailable)
	f.store.Change(func(x *kvtest.Faults) { x.HoldRequests = 0 })
	f.store.Release(nil)
	attempt, err := f.vms["b"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	require.True(t, attempt.Dispatch())
}

// The question goes over gRPC to the VM that holds the claim.
func TestPeersAnswerForTheirAttempts(t *testing.T) {
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
	asker := PeerAsker{Pool: pool, Address: func(vm string) string {
		return map[string]string{"a": listener.Addr().String()}[vm]
	}}
	attempt, err := f.vms["a"].Claim(t.Context(), "team", "k", "body")
	require.NoError(t, err)
	id := attempt.record.Attempt
	state, _, err := asker.Ask(t.Context(), "a", id)
	require.NoError(t, err)
	require.Equal(t, claim.Waiting, state)
	require.True(t, attempt.Abandon())
	state, _, err = asker.Ask(t.Context(), "a", id)
	require.NoError(t, err)
	require.Equal(t, claim.Abandoned, state)
	taken := attempt.record
	taken.Attempt = "another"
	v, err := asker.Submit(t.Context(), "a", claim.Op{Kind: claim.TakeOver, Record: taken, From: id})
	require.NoError(t, err)
	require.True(t, v.Granted)
	v, err = asker.Submit(t.Context(), "a", claim.Op{Kind: claim.Claim, Record: attempt.record})
	require.NoError(t, err)
	require.Equal(t, "another", v.Found.Attempt)
	require.WithinDuration(t, taken.ClaimedAt, v.Found.ClaimedAt, 0)
	_, _, err = asker.Ask(t.Context(), "gone", id)
	require.ErrorIs(t, err, ErrUnknownVM)
	cancel()
	require.NoError(t, errors.WithStack(<-served))
}

// slow is a service whose writes take two milliseconds.
type slow struct{ *kvtest.Memory }

// CompareAndSwap implements kv.Store.
func (s slow) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease kv.LeaseID) (kv.Result, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Memory.CompareAndSwap(ctx, key, expected, value, lease)
}

// BenchmarkAction runs keyed actions one after the other before a service whose
// writes take 2 ms: the caller gets his answer while it is on its way to the
// service, or only once it is stored there.
func BenchmarkAction(b *testing.B) {
	for _, stored := range []bool{false, true} {
		b.Run(fmt.Sprintf("stored=%t", stored), func(b *testing.B) {
			store := kvtest.NewMemory(nil)
			c := New(Options{Store: slow{store}, Environment: "test", VM: "a"})
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
				attempt.Answered(200, "text/plain", nil)
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
