package fleet

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chestnutarch/chestnutarch/internal/membership"
	"github.com/chestnutarch/chestnutarch/internal/peer"
)

const (
	testPeriod        = 20 * time.Millisecond
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 5 * time.Millisecond
)

// vm is one VM's Fleet with real connections over the loopback interface.
type vm struct {
	fleet   *Fleet
	version atomic.Int64
	stop    func()
}

func startVM(t *testing.T, id, domain string, incarnation uint64, lis net.Listener, seed string, version int64) *vm {
	t.Helper()
	plainText := peer.Security{AllowPlainText: true}
	pool, err := peer.NewPool(plainText)
	require.NoError(t, err)
	server, err := peer.NewServer(plainText)
	require.NoError(t, err)
	v := &vm{}
	v.version.Store(version)
	v.fleet = New(Options{
		Self:       membership.Node{VM: id, Incarnation: incarnation, FailureDomain: domain, PeerAddress: lis.Addr().String()},
		Membership: membership.Config{SuspectAfter: 10 * testPeriod, GoneAfter: 20 * testPeriod},
		Period:     testPeriod,
		Pool:       pool,
		Log:        zerolog.Nop(),
		Local:      func() Local { return Local{Ready: true, ConfigVersion: v.version.Load()} },
		Seeds:      func() []string { return []string{seed} },
		UpdateSince: func(have int64) (int64, []byte) {
			if v.version.Load() <= have {
				return v.version.Load(), nil
			}
			return v.version.Load(), []byte{byte(v.version.Load())}
		},
		ApplyUpdate: func(envelope []byte) { v.version.Store(int64(envelope[0])) },
	})
	server.RegisterMembership(v.fleet)
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(ctx, lis, time.Second) })
	group.Go(func() error { return v.fleet.Run(ctx) })
	v.stop = func() {
		cancel()
		require.NoError(t, group.Wait())
		pool.Close()
	}
	return v
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return lis
}

// One VM has accepted a new configuration while the key-value service is unavailable, or
// only its watch delivers events. The other VMs must learn of the version from heartbeats
// and fetch it, or they would go on accepting a withdrawn key.
func TestVMsDiscoverEachOtherAndFetchConfiguration(t *testing.T) {
	first := listen(t)
	seed := first.Addr().String()
	a := startVM(t, "a", "d1", 1, first, seed, 1)
	b := startVM(t, "b", "d2", 1, listen(t), seed, 1)
	c := startVM(t, "c", "d3", 1, listen(t), seed, 7)
	defer a.stop()
	defer c.stop()
	for _, v := range []*vm{a, b, c} {
		require.Eventually(t, func() bool { return len(v.fleet.View().Healthy()) == 3 }, eventuallyTimeout, pollInterval)
		require.Eventually(t, func() bool { return v.version.Load() == 7 }, eventuallyTimeout, pollInterval)
		require.Eventually(t, func() bool { return v.fleet.HasPartnerMajority(time.Now()) }, eventuallyTimeout, pollInterval)
	}
	b.stop()
	require.Eventually(t, func() bool { return len(a.fleet.View().Healthy()) == 2 }, eventuallyTimeout, pollInterval)
	require.False(t, a.fleet.HasPartnerMajority(time.Now().Add(time.Minute)), "a view that is a minute old must not count as fresh")
}

func TestPlainTextMustBeAllowed(t *testing.T) {
	_, err := peer.NewPool(peer.Security{})
	require.ErrorIs(t, err, peer.ErrNoCredentials)
	_, err = peer.NewServer(peer.Security{})
	require.ErrorIs(t, err, peer.ErrNoCredentials)
}
