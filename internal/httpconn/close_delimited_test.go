package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

const partOfAnswer = "HTTP/1.1 200 OK\r\n\r\npart of the answer"

// Guards against an answer that looks whole since the write of its request met the reset of the connection.
func TestCloseDelimitedResponseIsCutByAResetWhileItsRequestIsWritten(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond} {
		address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, partOfAnswer)
			time.Sleep(delay)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		p := NewPool(transport.Limits{})
		for range 100 {
			got, err := exchange(t, p, address, http.MethodPost, strings.Repeat("b", 4<<20))
			require.Error(t, err, "%q", got)
		}
	}
}

// Guards against an answer without a length that counts as cut although its connection was closed after it.
func TestCloseDelimitedResponseIsWholeIfItsConnectionIsClosed(t *testing.T) {
	for name, end := range map[string]func(net.Conn, *http.Request){
		"after the request was read": func(c net.Conn, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, partOfAnswer)
		},
		"before the request was read": func(c net.Conn, q *http.Request) {
			_, _ = io.WriteString(c, partOfAnswer)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, q.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
				if q, err := http.ReadRequest(r); err == nil {
					end(c, q)
				}
			})
			p := NewPool(transport.Limits{})
			for range 20 {
				got, err := exchange(t, p, address, http.MethodPost, strings.Repeat("b", 1<<20))
				require.NoError(t, err)
				require.Equal(t, "part of the answer", got)
			}
		})
	}
}

// Guards against taking bytes for a response whose status is invalid.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+99", "600", "999"} {
		address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			respond(c, r, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		})
		_, err := exchange(t, NewPool(transport.Limits{}), address, http.MethodPost, "body")
		require.ErrorIs(t, err, ErrBroken, status)
	}
}
