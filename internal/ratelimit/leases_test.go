package ratelimit

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/kv/kvtest"
	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
	"github.com/chestnutarch/chestnutarch/internal/quota"
)

const (
	patience  = 30 * time.Second
	pollEvery = 10 * time.Millisecond
	// testTerm is short, so that an outage soon outlasts it.
	testTerm = 1500 * time.Millisecond
)

// startFleet starts limiters that talk over the loopback interface and share an
// in-memory key-value service.
func startFleet(t *testing.T, n int) ([]*Leases, *kvtest.Memory) {
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
			Store: store, Pool: pool, Log: zerolog.Nop(),
			View: func() *membership.View { return &membership.View{Members: others} },
		})
		server.RegisterQuota(fleet[i])
		group.Go(func() error { return server.Serve(ctx, listeners[i], time.Second) })
		group.Go(func() error { return fleet[i].Run(ctx) })
	}
	return fleet, store
}

// A long manual arrives at one VM of several and is as large as the team's whole
// burst. The VM owns only a part, so without the others' tokens it would refuse
// the request for ever.
func TestWholeBurstOverRealConnections(t *testing.T) {
	const burst = 9_000
	fleet, _ := startFleet(t, 3)
	for _, l := range fleet {
		l.SetLimits(1, []Limit{{Team: "a", Rate: 20_000, Burst: burst}})
	}
	for _, l := range fleet {
		var grant *Grant
		require.Eventually(t, func() bool {
			var err error
			grant, err = l.Acquire(t.Context(), "a", burst)
			return err == nil
		}, patience, pollEvery)
		grant.Settle(burst / 2)
	}
	_, err := fleet[0].Acquire(t.Context(), "a", burst+1)
	require.ErrorIs(t, err, ErrLargerThanBurst)
	_, err = fleet[0].Acquire(t.Context(), "b", 1)
	require.ErrorIs(t, err, ErrUnknownTeam)
}

// The key-value service goes away. Each VM's authority would end a few seconds
// later, and the team would be refused although it is inside its rate.
func TestOutageLongerThanTheTerm(t *testing.T) {
	fleet, store := startFleet(t, 3)
	for _, l := range fleet {
		l.SetLimits(1, []Limit{{Team: "a", Rate: 9_000, Burst: 9_000}})
	}
	admitted := func(l *Leases) func() bool {
		return func() bool {
			_, err := l.Acquire(t.Context(), "a", 100)
			return err == nil
		}
	}
	for _, l := range fleet {
		require.Eventually(t, admitted(l), patience, pollEvery)
	}
	store.Change(func(f *kvtest.Faults) { f.Outage = true })
	time.Sleep(2 * testTerm)
	for _, l := range fleet {
		require.Eventually(t, admitted(l), patience, pollEvery)
	}
}
