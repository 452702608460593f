package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/admit"
	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/route"
)

var (
	item    = route.Item{Model: "m"}
	adapter = route.Item{Model: "m", Adapter: "a"}
)

// startDispatcher runs a dispatcher for a number of engines that accept limit requests
// each.
func startDispatcher(t testing.TB, engines int, limit int) *Dispatcher {
	return startVM(t, engines, limit, nil, nil)
}

// startVM runs a dispatcher with the given peers and borrower.
func startVM(t testing.TB, engines, limit int, peers func() Peers, b Borrower) *Dispatcher {
	fleet := &route.Fleet{}
	for i := range engines {
		fleet.Engines = append(fleet.Engines, route.Engine{
			Name: string(rune('a' + i)), Reachable: true, ReportedAt: time.Now(),
			Ready: map[route.Item][]string{item: {"v1"}, adapter: {"v1"}},
		})
	}
	d := New(Options{
		Route: route.Options{MaxInFlight: limit},
		Admit: admit.Options{MaxRequests: 8},
		Peers: peers, Borrower: b,
		Fleet: func() *route.Fleet { return fleet },
		Teams: func() []document.Team { return []document.Team{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}} },
	})
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return d
}

func request(team string, wait time.Duration) Request {
	return Request{Team: team, Item: item, Version: "v1", Tokens: 10, Bytes: 1, Deadline: time.Now().Add(wait)}
}

// A key is withdrawn while its request is queued. The request must not reach an
// engine, and the caller must receive the error of the check.
func TestKeyWithdrawnWhileQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 1, 1)
		first, err := d.Acquire(t.Context(), request("x", time.Minute))
		require.NoError(t, err)
		withdrawn := errors.New("withdrawn")
		var refused error
		var wg sync.WaitGroup
		wg.Go(func() {
			r := request("x", time.Minute)
			r.Check = func() error { return withdrawn }
			_, refused = d.Acquire(t.Context(), r)
		})
		synctest.Wait()
		time.Sleep(2 * refreshInterval)
		require.Equal(t, 1, d.Stats().Queued["x"])
		first.Finish(true, 12)
		wg.Wait()
		require.ErrorIs(t, refused, withdrawn)
		time.Sleep(2 * refreshInterval)
		require.Equal(t, 0, d.Stats().InFlight)
		require.Equal(t, int64(12), d.Stats().Served["x"])
	})
}

// The engines stay busy for longer than the caller can wait. The request must be
// refused as soon as its deadline can no longer be met (after 3 s, with a deadline of 5 s
// and a run time of 2 s), and not only at the deadline.
func TestRefusedWhenTheDeadlineCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 1, 1)
		_, err := d.Acquire(t.Context(), request("x", time.Minute))
		require.NoError(t, err)
		r := request("x", 5*time.Second)
		r.MinRunTime = 2 * time.Second
		began := time.Now()
		_, err = d.Acquire(t.Context(), r)
		require.ErrorIs(t, err, admit.ErrDeadline)
		require.InDelta(t, 3.0, time.Since(began).Seconds(), 0.1)
	})
}

// Callers cancel while they wait, some of them concurrently with the grant. A grant
// that is not finished would occupy an engine's capacity for ever.
func TestCancelledAcquiresReleaseCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 1, 1)
		for i := range 50 {
			holder, err := d.Acquire(t.Context(), request("x", time.Minute))
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() {
				if g, err := d.Acquire(ctx, request("y", time.Minute)); err == nil {
					g.Finish(true, 0)
				}
			})
			synctest.Wait()
			if i%2 == 0 {
				cancel()
				holder.Finish(true, 1)
			} else {
				holder.Finish(true, 1)
				cancel()
			}
			wg.Wait()
			cancel()
		}
		time.Sleep(2 * refreshInterval)
		require.Equal(t, 0, d.Stats().InFlight)
		require.Empty(t, d.Stats().Queued)
	})
}

// No engine serves the model. The request must fail after replicaTimeout, which leaves
// time for a model that is being moved, and not only at its deadline.
func TestNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 1, 1)
		r := request("x", time.Hour)
		r.Item = route.Item{Model: "elsewhere"}
		_, err := d.Acquire(t.Context(), r)
		require.ErrorIs(t, err, ErrNoReplica)
	})
}

func TestStoppedDispatcherRefuses(t *testing.T) {
	d := New(Options{Fleet: func() *route.Fleet { return &route.Fleet{} }, Teams: func() []document.Team { return nil }})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Error(t, d.Run(ctx))
	_, err := d.Acquire(context.Background(), request("x", time.Second))
	require.ErrorIs(t, err, ErrStopped)
}

// localBorrower borrows from a dispatcher in the same process.
type localBorrower struct{ *Dispatcher }

// Borrow implements Borrower.
func (o *localBorrower) Borrow(ctx context.Context, _ int, i route.Item, limit, want int) int {
	return o.Lend(ctx, i, limit, want)
}

// All callers of an adapter use one of two VMs. That VM must borrow more than its own
// half of the limit, and both VMs together must never exceed the limit.
func TestSharesOfALimitAreBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 6
		lender := &localBorrower{}
		busy := startVM(t, 1, 64, func() Peers { return Peers{VMs: 2, Rank: 0} }, lender)
		lender.Dispatcher = startVM(t, 1, 64, func() Peers { return Peers{VMs: 2, Rank: 1} }, nil)
		acquire := func(d *Dispatcher, wait time.Duration) bool {
			r := request("x", wait)
			r.Item, r.MaxInFlight = adapter, limit
			_, err := d.Acquire(t.Context(), r)
			return err == nil
		}
		granted := 0
		for range 8 {
			if acquire(busy, 300*time.Millisecond) {
				granted++
			}
		}
		require.Greater(t, granted, limit/2)
		for acquire(lender.Dispatcher, 10*time.Millisecond) {
			granted++
		}
		require.LessOrEqual(t, granted, limit)
	})
}

func BenchmarkAcquireFinish(b *testing.B) {
	d := startDispatcher(b, 20, 1<<20)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := request("x", time.Minute)
			r.Prefix = 7
			g, err := d.Acquire(context.Background(), r)
			if err != nil {
				b.Error(err)
				return
			}
			g.Finish(true, 10)
		}
	})
}

// Requests for a model have taken ten seconds so far. A request with a deadline of one
// second must be refused on arrival, and not after it has occupied an engine in vain.
func TestRunTimeIsEstimatedFromEarlierRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 1, 1)
		g, err := d.Acquire(t.Context(), request("x", time.Minute))
		require.NoError(t, err)
		time.Sleep(10 * time.Second)
		g.Finish(true, 10)
		began := time.Now()
		_, err = d.Acquire(t.Context(), request("x", time.Second))
		require.ErrorIs(t, err, admit.ErrDeadline)
		require.Zero(t, time.Since(began))
		g, err = d.Acquire(t.Context(), request("x", 5*time.Second))
		require.NoError(t, err)
		g.Finish(true, 10)
	})
}
