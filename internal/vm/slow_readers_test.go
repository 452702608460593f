package vm

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// withSlowRoutes lets requests take up to 20 s.
func withSlowRoutes(config map[string]any) {
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["timeout-ms"] = 20000
	}
}

// withSmallWindow gives a socket the smallest receive buffer that the kernel has.
func withSmallWindow(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
}

// addWithSmallWindow adds a replica whose connections have the smallest receive buffer that the kernel has.
func (c *cluster) addWithSmallWindow(r *standin.Replica) {
	config := net.ListenConfig{Control: withSmallWindow}
	listener, err := config.Listen(c.t.Context(), "tcp4", loopback(freePorts(c.t, 1)[0]))
	require.NoError(c.t, err)
	server := httptest.NewUnstartedServer(r)
	require.NoError(c.t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	c.t.Cleanup(server.Close)
	c.replicas[r.ID], c.servers[r.ID] = r, server
	c.setReplicaState(r.ID, "ready")
}

// dialWithSmallWindow opens a connection to a VM whose receive buffer is the smallest that the kernel gives.
func (c *cluster) dialWithSmallWindow(v *testVM) *stalledCaller {
	dialer := net.Dialer{Control: withSmallWindow}
	conn, err := dialer.Dial("tcp4", v.settings.Callers)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return &stalledCaller{Conn: conn, reader: bufio.NewReaderSize(conn, 16)}
}

// ask sends a request on a caller's connection and reads nothing.
func (c *cluster) ask(caller *stalledCaller, path string, deadline time.Duration) {
	_, err := fmt.Fprintf(caller, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Chestnutarch-Attempt-Id: id-%d\r\nAuthorization: Token %s\r\nX-Chestnutarch-Deadline-Remaining-Ms: %d\r\n\r\n",
		path, testHost, c.ids.Add(1), testKey, deadline.Milliseconds())
	require.NoError(c.t, err)
}

// Guards against an answer that is cut because its caller reads nothing for some seconds of its time.
func TestAnswersReachCallersThatReadLate(t *testing.T) {
	t.Parallel()
	const small = 4800
	c := newCluster(t)
	c.configure(withSlowRoutes)
	r := c.addLarge("clerk-1")
	reply := r.Fail
	r.Fail = func(w http.ResponseWriter, q *http.Request) {
		if strings.Contains(q.URL.Path, largePath) {
			reply(w, q)
			return
		}
		w.Header().Set("X-Chestnutarch-Attempt-Id", q.Header.Get("X-Chestnutarch-Attempt-Id"))
		w.Header().Set("X-Chestnutarch-Response-Signature", "sig")
		_, _ = w.Write(largeBody[:small])
	}
	v := c.startAs(vmSpec{name: "a", domain: "a", memoryMB: 144})
	var callers sync.WaitGroup
	for path, size := range map[string]int{"/file/": small, "/look/": small, "/look" + largePath: largeAnswer} {
		caller := c.dialWithSmallWindow(v)
		if size == small {
			// The connection has been used for a request with little time.
			c.ask(caller, path, 2*time.Second)
			_, _, err := caller.read()
			require.NoError(t, err)
		}
		c.ask(caller, path, 20*time.Second)
		callers.Go(func() {
			time.Sleep(8 * time.Second)
			status, body, err := caller.read()
			assert.NoError(t, err, path)
			assert.Equal(t, http.StatusOK, status, path)
			assert.Equal(t, size, len(body), path)
		})
	}
	callers.Wait()
}

// Guards against a request that is cut because its upstream pauses while it reads the body.
func TestRequestsReachUpstreamsThatReadLate(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(withSlowRoutes)
	r := standin.NewReplica("clerk-1", 0)
	r.BeforeBody = func(http.ResponseWriter, *http.Request) bool {
		time.Sleep(3 * time.Second)
		return false
	}
	c.addWithSmallWindow(r)
	v := c.startAs(vmSpec{name: "a", domain: "a", memoryMB: 144})
	body := string(largeBody[:900<<10])
	got := c.send(v, call{method: "POST", path: "/file/", body: body, header: map[string]string{"X-Chestnutarch-Deadline-Remaining-Ms": "10000"}})
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Len(t, r.Runs(), 1)
	require.True(t, r.Runs()[0].Body == body)
}

// Guards against an answer that is cut because its caller reads nothing as the VM stops.
func TestAnswerReachesACallerThatReadsAfterTheStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.configure(withSlowRoutes)
	r := standin.NewReplica("clerk-1", 0)
	r.Fail = func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("X-Chestnutarch-Attempt-Id", q.Header.Get("X-Chestnutarch-Attempt-Id"))
		w.Header().Set("X-Chestnutarch-Response-Signature", "sig")
		_, _ = w.Write(largeBody[:4800])
	}
	c.add(r)
	v := c.startAs(vmSpec{name: "a", domain: "a", memoryMB: 144})
	caller := c.dialWithSmallWindow(v)
	c.ask(caller, "/file/", 20*time.Second)
	c.eventually(func() bool { return len(r.Runs()) == 1 && v.ingress.Pending() == 0 })
	v.stop()
	time.Sleep(7 * time.Second)
	status, body, err := caller.read()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 4800, len(body))
}
