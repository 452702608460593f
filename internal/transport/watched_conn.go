package transport

import (
	"context"
	"net"
	"time"
)

// maxUnread is how long a server that is alive may leave a request unread. The context of a request is mostly shorter.
const maxUnread = time.Minute

// watchedConn is a connection to a server that may read late.
type watchedConn struct {
	net.Conn
	window *WindowWatch
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	now := time.Now()
	c.window.AllowUntil(now.Add(maxUnread))
	c.window.Wrote(now)
	return c.Conn.Write(p)
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
