package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// Guards against a body that is written twice or not at all, since head and body are written apart.
func TestBodiesArriveOnce(t *testing.T) {
	got := make(chan string, 1)
	address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			got <- string(body)
			_, _ = io.WriteString(c, okResponse)
		}
	})
	p := NewPool(transport.Limits{})
	for _, size := range []int{0, 1, 800, asyncWriteMin - 1, asyncWriteMin, 1 << 20} {
		body := strings.Repeat("b", size)
		_, err := exchange(t, p, address, "POST", body)
		require.NoError(t, err)
		require.True(t, body == <-got, "a body of %d bytes", size)
	}
}

// Guards against an upstream that never reads a body and keeps the VM writing beyond the request's deadline.
func TestWriteToAnUpstreamThatReadsNothingEnds(t *testing.T) {
	ended := make(chan struct{})
	address, _ := startUpstream(t, func(net.Conn, *bufio.Reader) { <-ended })
	defer close(ended)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	r, err := http.NewRequest("POST", "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = NewPool(transport.Limits{SocketBuffer: 64 << 10}).Do(ctx, Send{Address: address, Request: r, Body: make([]byte, 16<<20)})
	require.ErrorIs(t, err, ErrBroken)
}

// Guards against a copy of every long body.
func TestHeadHasNoCopyOfALongBody(t *testing.T) {
	r, err := http.NewRequest("POST", "http://h/x", nil)
	require.NoError(t, err)
	head, err := serializeHead(r, make([]byte, 1<<20))
	require.NoError(t, err)
	require.Contains(t, string(head), "Content-Length: 1048576\r\n\r\n")
	require.Less(t, cap(head), 32<<10)
}
