package inbound

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
)

// NewPeerListener returns a listener like that of NewListener whose connections are not HTTP/1.1. They count as idle since they
// last received bytes.
func NewPeerListener(inner net.Listener, group *connlimit.Group) net.Listener {
	return &peerListener{NewListener(inner, group)}
}

type peerListener struct{ *Listener }

// Accept implements net.Listener.
func (l *peerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &peerConn{c.(*Conn)}, nil
}

type peerConn struct{ *Conn }

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Conn.Read(p)
	if n > 0 && !c.entry.EndRequest(time.Now()) {
		return 0, errors.WithStack(ErrClosed)
	}
	return n, err
}
