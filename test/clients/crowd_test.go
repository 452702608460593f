package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// crowdSize is the number of clients that send the same at once, connectionCrowd that of those that hold connections only.
	crowdSize       = 150
	connectionCrowd = 600
	// endless is how many bytes a client sends of what has no end, unless its connection is closed before.
	endless = 4 << 20
	// legalHead is the size of the largest head that the configuration allows, in bytes.
	legalHead = 16384
	// overLimit is the size of a head over the limit, in bytes.
	overLimit = 4 * legalHead
	// lastingCrowd is the number of clients that send requests with values that never repeat, lastingRequests that of the requests of
	// each, and lastingSize about the size of a value in bytes.
	lastingCrowd    = 20
	lastingRequests = 2000
	lastingSize     = 8 << 10
	// unreadBuffer is the receive buffer of a client that does not read its answers, in bytes.
	unreadBuffer = 4 << 10
	// stuck is after how long a client whose bytes are not taken sends no more.
	stuck = 2 * time.Second
)

// sender writes what one client sends. number tells the clients of a crowd apart.
type sender func(number int, to io.Writer) error

// answer is what a client has got.
type answer struct {
	id     string
	status int
}

// crowd is a number of clients, each with a connection that stays open when the client has sent everything.
type crowd struct {
	connections []net.Conn
	mu          sync.Mutex
	answers     []answer
	reading     sync.WaitGroup
}

// send has clients send to an address at once, and returns when each has sent everything, or all that is taken from it. If
// read is set, the clients read their answers.
func (p *process) send(address string, clients int, read bool, what sender) *crowd {
	c := &crowd{}
	var sending sync.WaitGroup
	for i := range clients {
		connection, err := net.DialTimeout("tcp4", address, stuck)
		if err != nil {
			continue
		}
		c.connections = append(c.connections, connection)
		if read {
			c.reading.Go(func() { c.read(i, connection) })
		} else {
			_ = connection.(*net.TCPConn).SetReadBuffer(unreadBuffer)
		}
		sending.Go(func() { _ = what(i, progressWriter{connection}) })
	}
	sending.Wait()
	p.t.Cleanup(c.close)
	return c
}

// read reads the answers of a client until its connection ends.
func (c *crowd) read(number int, connection net.Conn) {
	from := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(from, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		c.mu.Lock()
		c.answers = append(c.answers, answer{id: clientID(number), status: response.StatusCode})
		c.mu.Unlock()
	}
}

// close closes the connections and waits until nothing is read any more.
func (c *crowd) close() {
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	c.reading.Wait()
}

// count returns how many answers the clients have got.
func (c *crowd) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// refusedIDs returns the IDs of the requests that were answered with a status that promises that they did not run.
func (c *crowd) refusedIDs() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]bool)
	for _, a := range c.answers {
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			out[a.id] = true
		}
	}
	return out
}

// requireTrueRefusals checks that no request that was refused has run.
func (w *world) requireTrueRefusals(c *crowd) {
	refused := c.refusedIDs()
	for _, run := range w.clerk.Runs() {
		require.NotContains(w.t, refused, run.ID, "a request that was refused has run")
	}
}

// progressWriter is a connection whose writes fail once nothing is taken for a while.
type progressWriter struct{ net.Conn }

// Write implements io.Writer.
func (p progressWriter) Write(b []byte) (int, error) {
	_ = p.SetWriteDeadline(time.Now().Add(stuck))
	return p.Conn.Write(b)
}

func clientID(number int) string { return fmt.Sprintf("client-%d", number) }

// head returns the head of a proper request for the plain service, without its end.
func head(number int, method string) string {
	return method + " /look/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Chestnutarch-Attempt-Id: " + clientID(number) +
		"\r\nX-Chestnutarch-Deadline-Remaining-Ms: 20000\r\nAuthorization: Token " + key + "\r\n"
}

// engineHead returns the whole head of a request for a stream of an engine.
func engineHead(route, id, model, parts string) string {
	return "POST /" + route + "/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Chestnutarch-Attempt-Id: " + id + "\r\nX-Chestnutarch-Deadline-Remaining-Ms: 20000\r\n" +
		"Authorization: Token " + key + "\r\nX-Chestnutarch-Model: " + model + "\r\nX-Chestnutarch-Token-Counts: 1,1\r\nX-Chestnutarch-Prompt-Prefix: " + parts +
		"\r\nContent-Length: 0\r\n\r\n"
}

// repeated sends a start, and then what line returns until endless bytes are sent.
func repeated(start func(number int) string, line func(i int) string) sender {
	return func(number int, to io.Writer) error {
		sent, err := io.WriteString(to, start(number))
		for i := 0; sent < endless && err == nil; {
			var piece strings.Builder
			for ; piece.Len() < 16<<10; i++ {
				piece.WriteString(line(i))
			}
			var n int
			n, err = io.WriteString(to, piece.String())
			sent += n
		}
		return err
	}
}

// filled returns a head with lines that make it as large as the configuration allows, and an end.
func filled(number int, method, end string, line func(i int) string) string {
	return filledTo(legalHead, number, method, end, line)
}

// filledTo returns a head with lines that make it as large as size, in bytes, and an end.
func filledTo(size, number int, method, end string, line func(i int) string) string {
	var out strings.Builder
	out.WriteString(head(number, method))
	for i := 0; ; i++ {
		next := line(i)
		if out.Len()+len(next)+len(end) > size {
			break
		}
		out.WriteString(next)
	}
	out.WriteString(end)
	return out.String()
}

// shortName returns a header name of three bytes that differs from those of other numbers.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	return string([]byte{letters[i/len(letters)/len(letters)%len(letters)], letters[i/len(letters)%len(letters)], letters[i%len(letters)]})
}

func once(text func(number int) string) sender {
	return func(number int, to io.Writer) error {
		_, err := io.WriteString(to, text(number))
		return err
	}
}
