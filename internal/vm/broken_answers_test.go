package vm

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/platform/standin"
)

// answerEarly makes a replica answer each request before its body is read, with raw bytes after the lines that a sound answer
// has, and then reset the connection. It returns a counter of these answers.
func answerEarly(r *standin.Replica, status, raw string) *atomic.Int64 {
	answered := new(atomic.Int64)
	r.BeforeBody = func(w http.ResponseWriter, q *http.Request) bool {
		answered.Add(1)
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return false
		}
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s\r\nX-Chestnutarch-Attempt-Id: %s\r\nX-Chestnutarch-Response-Signature: sig\r\n%s",
			status, q.Header.Get("X-Chestnutarch-Attempt-Id"), raw)
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
		return true
	}
	return answered
}

// Guards against a part of an answer that looks whole since the write of its request met the reset of the connection.
func TestAnswerThatIsResetWhileItsRequestIsWrittenIsNotWhole(t *testing.T) {
	t.Parallel()
	const tries = 15
	clerk, engine := standin.NewReplica("clerk-1", 0), standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, clerk, engine)
	path := newUpstreamPath()
	first := c.startAs(vmSpec{name: "a", domain: "a", upstreams: path, memoryMB: 144})
	second := c.startAs(vmSpec{name: "b", domain: "a", memoryMB: 144})
	c.eventually(func() bool { return len(first.fleet.meshPartners()) == 1 && namedBy(second, first) })
	body := strings.Repeat("b", 1<<20)
	for _, handedOver := range []bool{false, true} {
		if handedOver {
			c.cutOff(first, path)
		}
		for name, q := range map[string]struct {
			call
			part string
		}{
			"small":     {call{method: "POST", path: "/file/", body: body}, "\r\n" + strings.Repeat("p", 2<<10)},
			"large":     {call{method: "POST", path: "/file/", body: body}, "\r\n" + strings.Repeat("p", 100<<10)},
			"repeated":  {call{method: "POST", path: "/look/", body: body}, "\r\n" + strings.Repeat("p", 2<<10)},
			"stream":    {call{method: "POST", path: "/chat/", model: "m0", body: body}, "Content-Type: text/event-stream\r\n\r\n" + sseBody(1, 2)},
			"resumable": {call{method: "POST", path: "/draft/", model: "m0", body: body}, "Content-Type: text/event-stream\r\n\r\n" + sseBody(1, 2)},
		} {
			byClerk, byEngine := answerEarly(clerk, "200 OK", q.part), answerEarly(engine, "200 OK", q.part)
			whole := 0
			for range tries {
				if got := c.send(first, q.call); got.err == nil && got.status == http.StatusOK {
					whole++
				}
			}
			require.Zero(t, whole, "%s, handed over: %v", name, handedOver)
			require.Greater(t, byClerk.Load()+byEngine.Load(), int64(tries/2), "%s, handed over: %v", name, handedOver)
		}
	}
}

// Guards against an invalid status of an upstream, which ends the caller's connection instead of its request.
func TestInvalidStatusEndsNoConnection(t *testing.T) {
	t.Parallel()
	clerk, engine := standin.NewReplica("clerk-1", 0), standin.NewReplica("engine-1", 2, "m0")
	c := newCluster(t, clerk, engine)
	v := c.start("a")
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, r := range []*standin.Replica{clerk, engine} {
			answerEarly(r, status+" X", "Content-Length: 2\r\n\r\nok")
		}
		for _, q := range []call{
			{method: "POST", path: "/file/"}, {method: "GET", path: "/look/"}, {method: "POST", path: "/chat/", model: "m0"},
		} {
			got := c.send(v, q)
			require.NoError(t, got.err, "%s %s", status, q.path)
			require.Equal(t, http.StatusBadGateway, got.status, "%s %s", status, q.path)
			require.Empty(t, got.header.Get("X-Chestnutarch-Response-Signature"))
		}
	}
}
