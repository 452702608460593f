package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that looks whole since the write of its request met the reset of the connection.
func TestCloseDelimitedResponseIsCutByAResetWhileItsRequestIsWritten(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	transport := New(Limits{}, Pool{}, nil)
	defer transport.CloseIdleConnections()
	whole := 0
	for range 200 {
		r, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/x", strings.NewReader(strings.Repeat("b", 4<<20)))
		require.NoError(t, err)
		response, err := transport.RoundTrip(r)
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(response.Body); err == nil {
			whole++
		}
		_ = response.Body.Close()
	}
	require.Zero(t, whole)
}
