package inbound

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
)

// NewGRPCListener returns a listener for a gRPC server, like that of NewListener. A connection on which no message is incomplete
// counts as idle since it last received bytes. A call whose message is incomplete counts as a head that is being read; on
// connections that are encrypted above the listener, calls are not followed.
func NewGRPCListener(inner net.Listener, group *connlimit.Group, encrypted bool) net.Listener {
	return &grpcListener{Listener: NewListener(inner, group), encrypted: encrypted}
}

type grpcListener struct {
	*Listener
	encrypted bool
}

// Accept implements net.Listener.
func (l *grpcListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &grpcConn{Conn: c.(*Conn), encrypted: l.encrypted}, nil
}

type grpcConn struct {
	*Conn
	encrypted bool
	frames    frameScanner
	// taken is the memory that has been taken for calls.
	taken int64
}

// Read implements net.Conn.
func (c *grpcConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	if !c.encrypted {
		c.frames.scan(p[:n])
	}
	if refusal := c.hold(time.Now()); refusal != nil {
		_ = c.Close()
		return 0, refusal
	}
	return n, err
}

// hold takes the memory of calls whose messages are incomplete, or gives it back.
func (c *grpcConn) hold(now time.Time) error {
	more := c.frames.held - c.taken
	open := true
	switch {
	case c.frames.held == 0:
		open = c.entry.EndRequest(now)
	case c.taken == 0:
		open = c.entry.BeginHead(now)
	}
	c.taken = c.frames.held
	if !open {
		return errors.WithStack(ErrClosed)
	}
	switch {
	case more > 0:
		return errors.WithStack(c.entry.TakeHead(more, now))
	case more < 0:
		c.entry.ReturnHead(-more)
	}
	return nil
}
