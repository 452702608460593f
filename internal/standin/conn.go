package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// conn is a connection that can be made silent. A silent connection stays open,
// discards what the peer sends and sends nothing, not even a FIN.
type conn struct {
	net.Conn
	silent  atomic.Bool
	control atomic.Bool
	once    sync.Once
	onClose func(*conn)
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection. A silent one is kept open until the peer closes
// it: a peer of a lost connection would not receive a FIN either.
func (c *conn) Close() error {
	if c.silent.Load() {
		go func() {
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.closeNow()
		}()
		return nil
	}
	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.once.Do(func() { c.onClose(c) })
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.closeNow()
}

// listener accepts connections that the server can silence and reset.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection and adds it to the open ones.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, onClose: l.remove}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// dataConns lists the open connections except those whose latest request was a
// control call.
func (l *listener) dataConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*conn
	for c := range l.open {
		if !c.control.Load() {
			all = append(all, c)
		}
	}
	return all
}

func (l *listener) silenceAll() {
	for _, c := range l.dataConns() {
		c.silent.Store(true)
	}
}

func (l *listener) resetAll() {
	for _, c := range l.dataConns() {
		c.reset()
	}
}

func (l *listener) closeAll() {
	l.mu.Lock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		_ = c.closeNow()
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// requestConn returns the connection that carries a request, or nil if the
// handler is not served by this package.
func requestConn(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// silence makes the request's connection silent until it is closed.
func silence(r *http.Request) {
	if c := requestConn(r); c != nil {
		c.silent.Store(true)
	}
}

// abort resets the request's connection without answering and panics with
// http.ErrAbortHandler.
func abort(r *http.Request) {
	if c := requestConn(r); c != nil {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}
