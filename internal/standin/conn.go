package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// conn is a connection that can fall silent: it stays open, takes what the
// peer sends and throws it away, and sends nothing, not even its end.
type conn struct {
	net.Conn
	silent  atomic.Bool
	control atomic.Bool
	once    sync.Once
	gone    func(*conn)
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

// Close ends the connection. A silent one is kept open until the peer closes
// it: the peer must not be told what a lost connection would never tell it.
func (c *conn) Close() error {
	if c.silent.Load() {
		go func() {
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.end()
		}()
		return nil
	}
	return c.end()
}

func (c *conn) end() error {
	c.once.Do(func() { c.gone(c) })
	return c.Conn.Close()
}

// reset ends the connection with a TCP reset.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.end()
}

// listener hands out connections that the server can silence and reset.
type listener struct {
	net.Listener
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, open: make(map[*conn]struct{})}
}

// Accept waits for the next connection and keeps account of it.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, gone: l.forget}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	delete(l.open, c)
	l.mu.Unlock()
}

// data lists the open connections that carry more than control calls.
func (l *listener) data() []*conn {
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
	for _, c := range l.data() {
		c.silent.Store(true)
	}
}

func (l *listener) resetAll() {
	for _, c := range l.data() {
		c.reset()
	}
}

func (l *listener) endAll() {
	l.mu.Lock()
	all := make([]*conn, 0, len(l.open))
	for c := range l.open {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		_ = c.end()
	}
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection that carries a request, or nil where the
// handler is not served by this package.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// silence makes the request's connection silent for good.
func silence(r *http.Request) {
	if c := connOf(r); c != nil {
		c.silent.Store(true)
	}
}

// abort ends the request's connection by a reset, without an answer.
func abort(r *http.Request) {
	if c := connOf(r); c != nil {
		c.reset()
	}
	panic(http.ErrAbortHandler)
}
