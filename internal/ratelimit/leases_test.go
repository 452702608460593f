package ratelimit

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/clock"
	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	// testTerm is short, so that a test can outlast it with an outage.
	testTerm = 1500 * time.Millisecond
)

// steppedClock is a clock that advances only with the control goroutines of a fleet, so that no lease ends
// because a process gets little processor time.
type steppedClock struct{ elapsed atomic.Int64 }

func (c *steppedClock) read() clock.Reading {
	elapsed := time.Duration(c.elapsed.Load())
	return clock.Reading{Mono: elapsed, Wall: time.Unix(1_700_000_000, 0).Add(elapsed)}
}

// advance advances the clock in steps. After every step it runs a tick of each limiter and waits for the
// calls that are in flight.
func (c *steppedClock) advance(t *testing.T, fleet []*Leases, d time.Duration) {
	t.Helper()
	const step = testTerm / 150
	for end := c.elapsed.Load() + int64(d); c.elapsed.Load() < end; {
		c.elapsed.Add(int64(step))
		for _, l := range fleet {
			ticked := make(chan struct{})
			require.NoError(t, l.post(t.Context(), func(clock.Reading) {
				l.tick()
				close(ticked)
			}))
			<-ticked
		}
		for _, l := range fleet {
			for len(l.callSlots) > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
	}
}

// startFleet starts n limiters that communicate over the loopback interface and
// share an in-memory key-value service.
func startFleet(t *testing.T, n int, read clock.Func) ([]*Leases, *kvtest.Memory) {
	t.Helper()
	store := kvtest.NewMemory(time.Now)
	listeners := make([]net.Listener, n)
	members := make([]membership.Member, n)
	for i := range n {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i] = lis
		members[i] = membership.Member{Node: membership.Node{
			VM: fmt.Sprintf("vm%d", i), Incarnation: 1, FailureDomain: fmt.Sprintf("d%d", i), PeerAddress: lis.Addr().String(),
		}}
	}
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, group.Wait())
	})
	fleet := make([]*Leases, n)
	for i := range n {
		others := append(append([]membership.Member{}, members[:i]...), members[i+1:]...)
		pool, err := peer.NewPool(peer.Security{AllowPlainText: true})
		require.NoError(t, err)
		t.Cleanup(pool.Close)
		server, err := peer.NewServer(peer.Security{AllowPlainText: true})
		require.NoError(t, err)
		fleet[i] = NewLeases(Options{
			Config: quota.Config{
				Prefix: "/quota/", Self: quota.Holder{VM: members[i].VM, Incarnation: 1},
				Address: members[i].PeerAddress, FailureDomain: members[i].FailureDomain, Term: testTerm,
			},
			Store: store, Pool: pool, Log: zerolog.Nop(), Clock: read,
			View: func() *membership.View { return &membership.View{Members: others} },
		})
		server.RegisterQuota(fleet[i])
		group.Go(func() error { return server.Serve(ctx, listeners[i], time.Second) })
		group.Go(func() error { return fleet[i].Run(ctx) })
	}
	return fleet, store
}

// Guards against permanent refusal of a request as large as the team's whole burst.
// The VM at which it arrives owns only a share of the burst and has to borrow the
// other VMs' tokens.
func TestWholeBurstOverRealConnections(t *testing.T) {
	const burst = 9_000
	fleet, _ := startFleet(t, 3, nil)
	for _, l := range fleet {
		l.SetLimits(1, []Limit{{Team: "a", Rate: 20_000, Burst: burst}})
	}
	for _, l := range fleet {
		var grant *Grant
		require.Eventually(t, func() bool {
			var err error
			grant, err = l.Acquire(t.Context(), "a", burst)
			return err == nil
		}, waitTimeout, pollInterval)
		grant.Settle(burst / 2)
	}
	_, err := fleet[0].Acquire(t.Context(), "a", burst+1)
	require.ErrorIs(t, err, ErrLargerThanBurst)
	_, err = fleet[0].Acquire(t.Context(), "b", 1)
	require.ErrorIs(t, err, ErrUnknownTeam)
}

// Guards against refusing a team that is within its rate when an outage of the
// key-value service outlasts the lease term. Without renewal by witnesses each
// VM's authority would end a few seconds into the outage.
func TestOutageLongerThanTheTerm(t *testing.T) {
	var c steppedClock
	fleet, store := startFleet(t, 3, c.read)
	for _, l := range fleet {
		l.SetLimits(1, []Limit{{Team: "a", Rate: 9_000, Burst: 9_000}})
	}
	admitted := func(l *Leases) func() bool {
		return func() bool {
			c.advance(t, fleet, testTerm/15)
			_, err := l.Acquire(t.Context(), "a", 100)
			return err == nil
		}
	}
	for _, l := range fleet {
		require.Eventually(t, admitted(l), waitTimeout, pollInterval)
	}
	store.UpdateFaults(func(f *kvtest.Faults) { f.Outage = true })
	c.advance(t, fleet, 2*testTerm)
	for _, l := range fleet {
		require.Eventually(t, admitted(l), waitTimeout, pollInterval)
	}
}
