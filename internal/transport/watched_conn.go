package transport

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// watchedConn is a connection to a server that may read late, and that may reset the connection while it is written to. The
// kernel reports a reset once: if a write gets it, the next read sees an ordinary end, which may be that of a response.
type watchedConn struct {
	net.Conn
	window *WindowWatch

	// writing is held during a write. reset is the error of the write that met a reset.
	writing sync.Mutex
	reset   error
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.window.WroteRequest(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if HidesReset(err) {
		c.reset = err
	}
	return n, err
}

// Read implements net.Conn. It returns the error of a write instead of an end that the write has caused.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A write that still waits is ended, so that its error is known.
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.reset != nil {
		return n, c.reset
	}
	return n, io.EOF
}

// HidesReset reports whether the error of a write to a connection means that the next read sees an end although the peer has
// closed nothing. A write that was ended here has met nothing, and one that fails with EPIPE found that the peer had closed its
// direction before.
func HidesReset(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.window.Close()
	return c.Conn.Close()
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// watchedDial returns a function that opens a connection to a server that may read late.
func watchedDial(l Limits) dialFunc {
	dialer := NewDialer(l)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: c, window: NewWindowWatch(c, l.UserTimeout)}, nil
	}
}
