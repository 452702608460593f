package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// startUpstream starts a server that handles each accepted connection with f, and counts
// the connections.
func startUpstream(t *testing.T, f func(net.Conn, *bufio.Reader)) (address string, connections *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String(), connections
}

func exchange(t *testing.T, p *Pool, address, method, body string) (string, error) {
	r, err := http.NewRequest(method, "http://"+address+"/x", nil)
	require.NoError(t, err)
	x, err := p.Do(t.Context(), Send{Address: address, Request: r, Body: []byte(body)})
	if err != nil {
		return "", err
	}
	got, err := io.ReadAll(x.Response.Body)
	x.Close(err == nil)
	return string(got), err
}

// respond reads one request and writes raw.
func respond(c net.Conn, r *bufio.Reader, raw string) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, err = io.WriteString(c, raw)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreKept(t *testing.T) {
	address, connections := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for respond(c, r, okResponse) {
		}
	})
	p := NewPool(transport.Limits{})
	for range 5 {
		got, err := exchange(t, p, address, "POST", "body")
		require.NoError(t, err)
		require.Equal(t, "ok", got)
	}
	require.Equal(t, int64(1), connections.Load())
}

// A replica sends a second response after the complete one, while the connection is idle.
// The next request on that connection would receive another caller's data.
func TestSecondAnswerIsNotTakenForTheNext(t *testing.T) {
	sent := make(chan struct{})
	address, connections := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if !respond(c, r, okResponse) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		sent <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
	})
	p := NewPool(transport.Limits{})
	for range 3 {
		got, err := exchange(t, p, address, "GET", "")
		require.NoError(t, err)
		require.Equal(t, "ok", got)
		<-sent
	}
	require.Equal(t, int64(3), connections.Load())
}

// A reused connection breaks while a request is in flight on it. The client of net/http would
// resend a GET automatically: no retry limit counts that, and the upstream runs it twice.
func TestBrokenRequestIsNotSentAgain(t *testing.T) {
	var seen atomic.Int64
	address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if !respond(c, r, okResponse) {
			return
		}
		if _, err := http.ReadRequest(r); err == nil {
			seen.Add(1)
		}
	})
	p := NewPool(transport.Limits{})
	_, err := exchange(t, p, address, "GET", "")
	require.NoError(t, err)
	_, err = exchange(t, p, address, "GET", "")
	require.ErrorIs(t, err, ErrBroken)
	require.Equal(t, int64(1), seen.Load())
}

// A replica rejects a long request before it has read it, and reads the rest later. It still
// expects the rest of the body on that connection, so nothing else may be sent on it.
func TestConnectionWithAnUnreadBodyIsNotUsedAgain(t *testing.T) {
	address, connections := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		time.Sleep(100 * time.Millisecond)
	})
	p := NewPool(transport.Limits{})
	long := strings.Repeat("x", 16<<20)
	for i := range int64(2) {
		got, err := exchange(t, p, address, "POST", long)
		require.NoError(t, err)
		require.Equal(t, "no", got)
		require.Equal(t, i+1, connections.Load())
	}
}

// A response without a length ends when its connection is closed. One whose connection is
// reset before that must not be accepted as complete.
func TestResetAnswerIsNotComplete(t *testing.T) {
	address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		respond(c, r, "HTTP/1.1 200 OK\r\n\r\nhalf an ans")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := exchange(t, NewPool(transport.Limits{}), address, "GET", "")
	require.Error(t, err)
}

// The caller disconnects while the upstream processes its request. The connection is reset
// at once, so that the upstream stops.
func TestCancelledRequestResetsTheConnection(t *testing.T) {
	readErr := make(chan error, 1)
	address, _ := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, err := r.ReadByte()
		readErr <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	r, err := http.NewRequest("GET", "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = NewPool(transport.Limits{}).Do(ctx, Send{Address: address, Request: r})
	require.ErrorIs(t, err, ErrBroken)
	require.Error(t, <-readErr)
}

func TestFailedDialIsNotSent(t *testing.T) {
	_, err := exchange(t, NewPool(transport.Limits{}), "127.0.0.1:1", "GET", "")
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a request that is sent although it was given up while the connection was opened.
func TestNothingIsWrittenOnceARequestIsGivenUp(t *testing.T) {
	received := make(chan error, 1)
	address, _ := startUpstream(t, func(_ net.Conn, r *bufio.Reader) {
		_, err := r.ReadByte()
		received <- err
	})
	r, err := http.NewRequest("GET", "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = NewPool(transport.Limits{}).Do(t.Context(), Send{Address: address, Request: r, BeforeWrite: func() error { return io.ErrNoProgress }})
	require.ErrorIs(t, err, io.ErrNoProgress)
	require.Error(t, <-received)
}

// Guards against a request that returns to a connection on which a second answer to it may come.
func TestAvoidedConnectionsAreNotUsedAndStayOpen(t *testing.T) {
	address, connections := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for respond(c, r, okResponse) {
		}
	})
	p := NewPool(transport.Limits{})
	var used []int64
	for n := range 3 {
		x := finish(t, p, Send{Address: address, Avoid: used})
		require.Equal(t, int64(n+1), connections.Load())
		require.NotContains(t, used, x)
		used = append(used, x)
	}
	for range 3 {
		require.Equal(t, used[1], finish(t, p, Send{Address: address, Avoid: []int64{used[0], used[2]}}))
	}
	require.Equal(t, int64(3), connections.Load())
}

// finish makes an exchange and returns the number of its connection, which is kept.
func finish(t *testing.T, p *Pool, s Send) int64 {
	r, err := http.NewRequest("GET", "http://"+s.Address+"/x", nil)
	require.NoError(t, err)
	s.Request = r
	x, err := p.Do(t.Context(), s)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, x.Response.Body)
	require.NoError(t, err)
	number := x.Connection()
	x.Close(true)
	return number
}
