//go:build linux

package transport

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	testUserTimeout = 600 * time.Millisecond
	testWait        = 30 * time.Second
)

// watchedPair is a connection with a watch, whose peer has a small receive buffer and reads only what it is asked to.
type watchedPair struct {
	net.Conn
	peer  net.Conn
	watch *WindowWatch
	// ended is closed when a read of the connection fails.
	ended chan struct{}
}

func newWatchedPair(t *testing.T) *watchedPair {
	smallWindow := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1) })
	}
	config := net.ListenConfig{Control: smallWindow}
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := NewDialer(Limits{UserTimeout: testUserTimeout}).Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	peer, err := listener.Accept()
	require.NoError(t, err)
	p := &watchedPair{Conn: conn, peer: peer, watch: NewWindowWatch(conn, testUserTimeout), ended: make(chan struct{})}
	t.Cleanup(func() {
		p.watch.Close()
		_ = conn.Close()
		_ = peer.Close()
	})
	go func() {
		defer close(p.ended)
		_, _ = conn.Read(make([]byte, 1))
	}()
	return p
}

// send writes more than the peer's buffer takes, and less than the connection's own.
func (p *watchedPair) send(t *testing.T, until time.Time) {
	p.watch.AllowUntil(until)
	p.watch.Wrote(time.Now())
	_, err := p.Write(make([]byte, 16<<10))
	require.NoError(t, err)
}

// silence makes the peer's kernel drop what arrives, as if the peer were gone without a word.
func (p *watchedPair) silence(t *testing.T) {
	raw, err := p.peer.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}))
	require.NoError(t, err)
}

func (p *watchedPair) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *watchedPair) stalled(t *testing.T) bool {
	state, err := readSendState(p.watch.raw)
	require.NoError(t, err)
	return state.stalled()
}

// Guards against a connection that ends because its peer, which is alive, reads nothing for a time.
func TestPeerThatReadsLateGetsEverything(t *testing.T) {
	t.Parallel()
	p := newWatchedPair(t)
	p.send(t, time.Now().Add(time.Hour))
	time.Sleep(4 * testUserTimeout)
	require.False(t, p.hasEnded())
	require.True(t, p.stalled(t))
	read := 0
	for buffer := make([]byte, 4<<10); read < 16<<10; {
		n, err := p.peer.Read(buffer)
		require.NoError(t, err)
		read += n
	}
	require.Eventually(t, func() bool {
		p.watch.mu.Lock()
		defer p.watch.mu.Unlock()
		return p.watch.current == testUserTimeout && p.watch.pendingSince.IsZero()
	}, testWait, time.Millisecond)
}

// Guards against a connection that ends at the deadline of its first request while a later one has time left.
func TestPeerIsWaitedForUntilTheLatestDeadline(t *testing.T) {
	t.Parallel()
	p := newWatchedPair(t)
	p.send(t, time.Now().Add(3*testUserTimeout))
	time.Sleep(testUserTimeout)
	p.send(t, time.Now().Add(time.Hour))
	time.Sleep(4 * testUserTimeout)
	require.False(t, p.hasEnded())
}

// Guards against a peer that reads nothing and is waited for after its request's deadline.
func TestPeerThatReadsNothingIsLeftAtItsDeadline(t *testing.T) {
	t.Parallel()
	p := newWatchedPair(t)
	p.send(t, time.Now().Add(3*testUserTimeout))
	require.Eventually(t, p.hasEnded, testWait, time.Millisecond)
}

// Guards against a peer that is gone without a word and is waited for like one that reads late.
func TestPeerThatIsGoneIsNoticedBeforeItsDeadline(t *testing.T) {
	t.Parallel()
	for _, closedBefore := range []bool{false, true} {
		p := newWatchedPair(t)
		if !closedBefore {
			p.silence(t)
		}
		p.send(t, time.Now().Add(time.Hour))
		if closedBefore {
			time.Sleep(2 * testUserTimeout)
			require.True(t, p.stalled(t))
			p.silence(t)
		}
		require.Eventually(t, p.hasEnded, testWait, time.Millisecond)
	}
}
