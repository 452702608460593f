package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// openIdle returns how many idle connections a pool holds.
func (p *Pool) openIdle() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// Guards against connections that stay open for good because their exchanges ended after the upstream had gone.
func TestConnectionsToUpstreamsThatHaveGoneAreClosed(t *testing.T) {
	p := NewPool(transport.Limits{})
	p.sweepInterval = 5 * time.Millisecond
	closed := make(chan struct{})
	for range 20 {
		address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			for respond(c, r, okResponse) {
				select {
				case <-closed:
					return
				default:
				}
			}
		})
		r, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
		require.NoError(t, err)
		x, err := p.Do(t.Context(), Send{Address: address, Request: r})
		require.NoError(t, err)
		p.CloseIdle(address)
		_, err = io.ReadAll(x.Response.Body)
		require.NoError(t, err)
		x.Close(true)
	}
	require.Equal(t, 20, p.openIdle())
	time.Sleep(10 * p.sweepInterval)
	require.Equal(t, 20, p.openIdle(), "usable connections are kept")
	close(closed)
	for address := range addressesOf(p) {
		_, _ = exchange(t, p, address, http.MethodGet, "")
	}
	require.Eventually(t, func() bool { return p.openIdle() == 0 }, 15*time.Second, time.Millisecond)
	require.Empty(t, addressesOf(p))
}

// addressesOf returns the addresses to which a pool holds connections.
func addressesOf(p *Pool) map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool)
	for a := range p.idle {
		out[a] = true
	}
	return out
}
