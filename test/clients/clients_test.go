package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// httpListeners are the names of the listeners that speak HTTP/1.1.
var httpListeners = []string{"callers", "readiness", "directory", "operators"}

// behaviour is what each client of a crowd does.
type behaviour struct {
	name    string
	clients int
	read    bool
	what    sender
}

func getHead(number int) string { return head(number, http.MethodGet) }

// behaviours are those of clients of a listener that speaks HTTP/1.1.
var behaviours = []behaviour{
	{"request line without end", crowdSize, false, repeated(func(int) string { return "GET /" }, func(int) string { return "a" })},
	{"header line without end", crowdSize, false, repeated(func(n int) string { return getHead(n) + "A: " }, func(int) string { return "a" })},
	{"header lines without end", crowdSize, false, repeated(getHead, func(i int) string { return shortName(i) + ":\n" })},
	{"empty lines without end", crowdSize, false, repeated(func(int) string { return "" }, func(int) string { return "\r\n" })},
	{"empty lines without end after a request", crowdSize, false, repeated(
		func(n int) string { return head(n, http.MethodPost) + "Content-Length: 0\r\n\r\n" }, func(int) string { return "\r\n" })},
	{"short lines", crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodGet, "\r\n", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"short lines without an end", crowdSize, false, once(func(n int) string {
		return filled(n, http.MethodGet, "", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"short lines over the limit without an end", crowdSize, false, once(func(n int) string {
		return filledTo(overLimit, n, http.MethodGet, "", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"short lines and no body", crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodPost, "Content-Length: 9\r\n\r\n", func(i int) string { return shortName(i) + ":\n" })
	})},
	{"one name many times", crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodGet, "\r\n", func(int) string { return "a:\n" })
	})},
	{"many connection options", crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodGet, "\r\n\r\n", func(i int) string {
			if i == 0 {
				return "Connection: a"
			}
			return ",a"
		})
	})},
	{"many prompt parts", crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodGet, "\r\n\r\n", func(i int) string {
			if i == 0 {
				return "X-Chestnutarch-Prompt-Prefix: a:1"
			}
			return fmt.Sprintf(",%x:1", i)
		})
	})},
	{"chunk extensions without end", crowdSize, false, repeated(
		func(n int) string { return head(n, http.MethodPost) + "Transfer-Encoding: chunked\r\n\r\n1" }, func(int) string { return ";a=b" })},
	{"trailers without end", crowdSize, false, repeated(
		func(n int) string { return head(n, http.MethodPost) + "Transfer-Encoding: chunked\r\n\r\n0\r\n" }, func(i int) string { return shortName(i) + ":\n" })},
	{"answers that are not read", crowdSize, false, repeated(func(int) string { return "" }, func(int) string { return getHead(0) + "\r\n" })},
	{"refusals that are not read", connectionCrowd, false, repeated(
		func(int) string { return "" }, func(int) string { return strings.Replace(getHead(0), key, "unknown", 1) + "\r\n" })},
	{"connections without a byte", connectionCrowd, false, once(func(int) string { return "" })},
	{"bodies that do not come", connectionCrowd, false, once(func(n int) string {
		return head(n, http.MethodPost) + "Content-Length: 16000\r\n\r\n"
	})},
	{"connections that stay idle", connectionCrowd, true, once(func(n int) string { return getHead(n) + "\r\n" })},
}

// Guards against clients outside the limits that end a VM or take it from ordinary callers.
func TestVMOutlivesClientsOfItsHTTPListeners(t *testing.T) {
	for _, listener := range httpListeners {
		for _, b := range behaviours {
			t.Run(listener+"/"+strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
				w := newWorld(t)
				c := w.send(w.listener(listener), b.clients, b.read, b.what)
				w.requireOrdinaryAnswer()
				w.requireWithinLimits()
				c.close()
				w.requireTrueRefusals(c)
			})
		}
	}
}

// Guards against requests of many short lines that take a VM's memory while they wait for their upstream.
func TestVMOutlivesShortLinesThatWaitForTheirUpstream(t *testing.T) {
	w := newWorld(t)
	w.clerk.SetFail(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })
	c := w.send(w.vm.Callers, crowdSize, true, once(func(n int) string {
		return filled(n, http.MethodGet, "\r\n", func(i int) string { return shortName(i) + ":\n" })
	}))
	require.Eventually(t, func() bool { return len(w.clerk.Runs()) > 0 }, patience, 10*time.Millisecond)
	w.clerk.SetFail(nil)
	w.requireOrdinaryAnswer()
	w.requireWithinLimits()
	c.close()
	w.requireTrueRefusals(c)
}

// lastingValues are requests whose values a VM might remember, each of which differs from all others.
var lastingValues = []struct {
	name string
	// request returns the head of a request with a value.
	request func(number int, value string) string
}{
	{"attempt IDs of streams", func(_ int, value string) string { return engineHead("draft", value, "m0", "aa:1") }},
	{"attempt IDs", func(_ int, value string) string {
		return strings.Replace(getHead(0), clientID(0), value, 1) + "\r\n"
	}},
	{"models", func(n int, value string) string { return engineHead("chat", clientID(n), value, "aa:1") }},
	{"models of a plain service", func(n int, value string) string { return engineHead("look", clientID(n), value, "aa:1") }},
	{"adapters", func(n int, value string) string { return engineHead("chat", clientID(n), "m0/"+value, "aa:1") }},
	{"prompt parts", func(n int, value string) string { return engineHead("chat", clientID(n), "m0", value+":1") }},
	{"paths", func(n int, value string) string {
		return strings.Replace(getHead(n), "/look/1", "/look/"+value, 1) + "\r\n"
	}},
	{"hosts", func(n int, value string) string {
		return strings.Replace(getHead(n), host, value, 1) + "\r\n"
	}},
	{"keys", func(n int, value string) string {
		return strings.Replace(getHead(n), "Token "+key, "Token "+value, 1) + "\r\n"
	}},
	{"streams to resume", func(n int, value string) string {
		return strings.TrimSuffix(engineHead("draft", clientID(n), "m0", "aa:1"), "\r\n") + "Last-Event-Id: 1\r\nResumes: " + value + "\r\n\r\n"
	}},
}

// Guards against memory that grows with every request, since a VM remembers what clients choose.
func TestVMOutlivesValuesThatNeverRepeat(t *testing.T) {
	for _, values := range lastingValues {
		t.Run(strings.ReplaceAll(values.name, " ", "-"), func(t *testing.T) {
			w := newWorld(t)
			w.clerk.ServiceTime, w.engine.ServiceTime = 0, 0
			c := w.send(w.vm.Callers, lastingCrowd, true, func(number int, to io.Writer) error {
				for i := range lastingRequests {
					value := fmt.Sprintf("%d-%d-", number, i) + strings.Repeat("0", lastingSize)
					if _, err := io.WriteString(to, values.request(number, value)); err != nil {
						return err
					}
				}
				return nil
			})
			t.Logf("%d answers, %d and %d runs", c.count(), len(w.clerk.Runs()), len(w.engine.Runs()))
			w.requireOrdinaryAnswer()
			w.requireWithinLimits()
		})
	}
}

// Guards against a stop that waits for clients that do not end their requests.
func TestVMStopsBesideClientsThatDoNotEnd(t *testing.T) {
	for _, name := range append([]string{"peers"}, httpListeners...) {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.send(w.listener(name), crowdSize, false, once(getHead))
			require.NoError(t, w.cmd.Process.Signal(syscall.SIGTERM))
			select {
			case <-w.ended:
			case <-time.After(patience):
				require.Fail(t, "the process has not ended")
			}
			require.True(t, w.cmd.ProcessState.Success(), "%v", w.cmd.ProcessState)
		})
	}
}

// Guards against clients that go on sending while their requests are served, so that the kernel holds what nobody reads.
func TestVMOutlivesBytesThatAreNotRead(t *testing.T) {
	w := newWorldWith(t, manyDescriptors)
	release := make(chan struct{})
	defer close(release)
	w.clerk.SetFail(func(http.ResponseWriter, *http.Request) { <-release })
	c := w.send(w.vm.Callers, connectionCrowd, false, repeated(func(n int) string { return getHead(n) + "\r\n" }, func(int) string { return "\r\n" }))
	defer c.close()
	w.requireMemoryWithinLimit()
	w.clerk.SetFail(nil)
	w.requireOrdinaryAnswer()
}

// Guards against a limit that refuses what the configuration allows.
func TestLargestHeadOfShortLinesIsServedInCalm(t *testing.T) {
	w := newWorld(t)
	connection, err := net.Dial("tcp4", w.vm.Callers)
	require.NoError(t, err)
	defer connection.Close()
	from := bufio.NewReader(connection)
	for i := range 3 {
		_, err = io.WriteString(connection, filled(i, http.MethodGet, "\r\n", func(i int) string { return shortName(i) + ":\n" }))
		require.NoError(t, err)
		response, err := http.ReadResponse(from, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// Guards against a limit of the configuration that is not in force, or not any more.
func TestHeadsAreBoundedByTheConfiguration(t *testing.T) {
	w := newWorld(t)
	status := func(size int) int {
		connection, err := net.Dial("tcp4", w.vm.Callers)
		require.NoError(t, err)
		defer connection.Close()
		go func() { _, _ = io.WriteString(connection, getHead(size)+"A: "+strings.Repeat("a", size)+"\r\n\r\n") }()
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, status(legalHead-1000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(2*legalHead))
	w.manifest.Version, w.manifest.HeaderBytes = 2, 8*legalHead
	w.store.Put("op/config", w.manifest.Value())
	require.Eventually(t, func() bool { return status(2*legalHead) == http.StatusOK }, patience, 100*time.Millisecond)
	require.Equal(t, http.StatusOK, status(8*legalHead-1000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status(9*legalHead))
}

// peerBehaviours are those of clients of the listener for other VMs, which speaks HTTP/2.
var peerBehaviours = []behaviour{
	{"connections without a byte", connectionCrowd, false, once(func(int) string { return "" })},
	{"connections with a preface", connectionCrowd, false, once(func(int) string { return preface })},
	{"empty lines without end", crowdSize, false, repeated(func(int) string { return "" }, func(int) string { return "\r\n" })},
	{"header blocks without end", crowdSize, false, headerBlocks(0)},
	{"large header blocks of many streams", crowdSize, false, manyStreams(16 << 10)},
	{"messages that do not end", crowdSize, false, unfinishedMessages},
	{"pings without end", crowdSize, false, repeated(func(int) string { return preface }, func(int) string { return frame(framePing, 0, 0, "12345678") })},
	{"settings without end", crowdSize, false, repeated(func(int) string { return preface }, func(int) string { return frame(frameSettings, 0, 0, "") })},
}

// Guards against clients of the listener for other VMs that end a VM or take it from ordinary callers.
func TestVMOutlivesClientsOfItsPeerListener(t *testing.T) {
	for _, b := range peerBehaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "-"), func(t *testing.T) {
			w := newWorld(t)
			w.send(w.listener("peers"), b.clients, b.read, b.what)
			w.requireOrdinaryAnswer()
			w.requireWithinLimits()
		})
	}
}
