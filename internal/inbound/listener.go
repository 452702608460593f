package inbound

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// Listener is a listener whose connections are bounded in number. Its inner listener may be one of crypto/tls.
type Listener struct {
	net.Listener
	group *connlimit.Group
	// HeadLimit, if set, returns the size of the largest head that is accepted, in bytes. It must be set before the first Accept.
	HeadLimit func() int64
	// ReceiveBuffer is the bound on the kernel's receive buffer of a connection, in bytes, which it gets from the inner listener.
	// BodyBuffer replaces it while a body of more than ReceiveBuffer is read. Zero leaves it as it is. Both must be set before the
	// first Accept.
	ReceiveBuffer, BodyBuffer int
	// UserTimeout is the TCP_USER_TIMEOUT of a connection, which it gets from the inner listener. Zero means that no request
	// allows its client to leave bytes unread for longer. It must be set before the first Accept.
	UserTimeout time.Duration
}

// NewListener returns a listener that accepts the connections of another one within the limit of a group.
func NewListener(inner net.Listener, group *connlimit.Group) *Listener {
	return &Listener{Listener: inner, group: group}
}

// Accept implements net.Listener. Its errors are those of the inner listener as they are: servers go on after temporary ones,
// which they recognise by their type.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, listener: l, window: transport.NewWindowWatch(unencrypted(inner), l.UserTimeout)}
		c.entry = l.group.Open(func() { closeNow(inner) }, time.Now())
		if c.entry == nil {
			closeNow(inner)
			continue
		}
		if _, encrypted := inner.(*tls.Conn); encrypted {
			return &tlsConn{c}, nil
		}
		return c, nil
	}
}

// closeNow closes a connection without a word to its client, which may not read.
func closeNow(c net.Conn) { _ = unencrypted(c).Close() }

// unencrypted returns the connection below TLS.
func unencrypted(c net.Conn) net.Conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		return encrypted.NetConn()
	}
	return c
}

// tlsConn is a connection with TLS. The server of net/http asks it for its state instead of performing the handshake.
type tlsConn struct{ *Conn }

// ConnectionState performs the handshake and returns the state of the connection. If the handshake fails, reads fail, too.
func (c *tlsConn) ConnectionState() tls.ConnectionState {
	inner := c.Conn.Conn.(*tls.Conn)
	_ = inner.SetDeadline(time.Now().Add(handshakeTimeout))
	if inner.Handshake() == nil {
		_ = inner.SetDeadline(time.Time{})
	}
	return inner.ConnectionState()
}

// handshakeTimeout bounds the TLS handshake.
const handshakeTimeout = 10 * time.Second

type connKey struct{}

// connOf returns the connection that a Listener has accepted.
func connOf(c net.Conn) *Conn {
	if encrypted, ok := c.(*tlsConn); ok {
		return encrypted.Conn
	}
	return c.(*Conn)
}

// AllowUnreadUntil lets the client of a request leave bytes unread until t, if it is alive. ctx is the context of the request;
// one of a connection that no Listener has accepted is ignored.
func AllowUnreadUntil(ctx context.Context, t time.Time) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.window.AllowUntil(t)
	}
}

// Attach makes an HTTP server tell its connections, which have to be those of a Listener, what it does with their requests.
// It sets the server's hooks and must be called before the server serves.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			connOf(c).endRequest()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(*Conn).beginBody(r)
		next.ServeHTTP(w, r)
	})
}
