package inbound

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
)

// maxHead is the size of the largest head that servers accept, in bytes.
const maxHead = 30 << 10

// startServer starts a server that echoes bodies, within a limit of connections.
func startServer(t *testing.T, limit int) (address string, group *connlimit.Group) {
	return startBoundedServer(t, connlimit.NewTable(0), limit)
}

// startBoundedServer starts a server that echoes bodies, within the memory of a table, and accepts heads of up to maxHead bytes.
func startBoundedServer(t *testing.T, table *connlimit.Table, limit int) (address string, group *connlimit.Group) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	group = table.Group(limit)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s %s %d", r.Method, body, len(r.Header))
	})}
	Attach(server)
	listener := NewListener(inner, group)
	listener.HeadLimit = func() int64 { return maxHead }
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), group
}

// busyListener fails to accept a connection once, as when the process has no descriptors left.
type busyListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *busyListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because it cannot accept a connection for a moment.
func TestServersGoOnAfterTemporaryErrors(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	busy := &busyListener{Listener: inner}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	Attach(server)
	go func() { _ = server.Serve(NewListener(busy, connlimit.NewTable(0).Group(1))) }()
	defer server.Close()
	response, err := http.Get("http://" + inner.Addr().String())
	require.NoError(t, err)
	require.True(t, busy.failed.Load())
	_ = response.Body.Close()
}

// Guards against bytes that are lost, or taken for another request's, where a head or body ends within a read.
func TestRequestsOfAConnectionAreReadAsTheyCome(t *testing.T) {
	address, _ := startServer(t, 100)
	requests := []struct{ text, answer string }{
		{"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "GET  1"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n\r\n\r\nx", "POST \r\n\r\nx 1"},
		{"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n2\r\n\r\n\r\n0\r\n\r\n", "POST abc\r\n 0"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("0", 9000), "POST " + strings.Repeat("0", 9000) + " 1"},
		{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "POST  1"},
		{"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET  0"},
	}
	rapid.Check(t, func(rt *rapid.T) {
		var all bytes.Buffer
		var answers []string
		previous := 4
		for range rapid.IntRange(1, 8).Draw(rt, "requests") {
			choice := rapid.IntRange(0, len(requests)-1).Draw(rt, "request")
			if choice == 5 && previous != 4 {
				// Only after a POST does the server accept an empty line.
				choice = 0
			}
			previous = choice
			all.WriteString(requests[choice].text)
			answers = append(answers, requests[choice].answer)
		}
		if strings.HasPrefix(all.String(), "\r\n") {
			return
		}
		connection, err := net.Dial("tcp4", address)
		require.NoError(rt, err)
		defer connection.Close()
		piece := rapid.SampledFrom([]int{1, 7, 100, 4096, 20000}).Draw(rt, "piece")
		go func() {
			for all.Len() > 0 {
				_, _ = connection.Write(all.Next(piece))
			}
		}()
		from := bufio.NewReader(connection)
		for _, want := range answers {
			response, err := http.ReadResponse(from, nil)
			require.NoError(rt, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(rt, err)
			require.Equal(rt, want, string(body))
		}
	})
}

// Guards against a connection that is closed while its request is served.
func TestCallersAreServedBesideSilentConnections(t *testing.T) {
	address, group := startServer(t, 4)
	for range 20 {
		silent, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		defer silent.Close()
	}
	for range 20 {
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Post("http://"+address, "", strings.NewReader("body"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		_ = response.Body.Close()
	}
	require.LessOrEqual(t, group.Counts().Open, 4)
}

// Guards against a connection that keeps its place after a request that was not read to its end.
func TestConnectionsGiveTheirPlaceBack(t *testing.T) {
	address, group := startServer(t, 100)
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n", "\r\n\r\n", "GET"} {
		connection, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		_, err = io.WriteString(connection, text)
		require.NoError(t, err)
		_ = connection.Close()
	}
	require.Eventually(t, func() bool { return group.Counts().Open == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a refusal that its client loses because it goes on sending, and against one that runs.
func TestClientsReadRefusalsOfTheirHeads(t *testing.T) {
	table := connlimit.NewTable(1 << 20)
	address, _ := startBoundedServer(t, table, 100)
	lines := strings.Repeat("a:\r\n", 20<<10/4)
	for _, refused := range []struct {
		head   string
		status int
	}{
		{"A: " + strings.Repeat("a", maxHead) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{lines, http.StatusServiceUnavailable},
	} {
		connection, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		go func() {
			_, _ = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\n"+refused.head+"Content-Length: 9000\r\n\r\n"+strings.Repeat("b", 9000))
		}()
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		require.NoError(t, err)
		require.Equal(t, refused.status, response.StatusCode)
		require.Equal(t, refused.status == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != "")
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NotContains(t, string(body), "POST")
		_ = connection.Close()
	}
	require.Eventually(t, func() bool { return table.HeadCounts().Held == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a server that does not learn who its client is, since the connection hides its handshake.
func TestServerSeesTheStateOfTLSConnections(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || !r.TLS.HandshakeComplete {
			w.WriteHeader(http.StatusUnauthorized)
		}
	})}
	Attach(server)
	group := connlimit.NewTable(0).Group(2)
	config := certified.TLS.Clone()
	config.NextProtos = []string{"http/1.1"}
	go func() { _ = server.Serve(NewListener(tls.NewListener(inner, config), group)) }()
	defer server.Close()
	for range 5 {
		silent, err := net.Dial("tcp4", inner.Addr().String())
		require.NoError(t, err)
		defer silent.Close()
	}
	response, err := certified.Client().Get("https://" + inner.Addr().String())
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	_ = response.Body.Close()
}

// Guards against a connection that is closed under a client that sends its requests without waiting for their answers.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	const requests = 2000
	address, _ := startBoundedServer(t, connlimit.NewTable(1<<20), 100)
	connection, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	defer connection.Close()
	go func() {
		for range requests {
			_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 8<<10)+"\r\n\r\n")
		}
	}()
	from := bufio.NewReader(connection)
	for i := range requests {
		response, err := http.ReadResponse(from, nil)
		require.NoError(t, err, "request %d", i)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "request %d", i)
	}
}
