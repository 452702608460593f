package inbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
)

// Listener is a listener whose connections are bounded in number. Its connections are of type *Conn.
type Listener struct {
	net.Listener
	group *connlimit.Group
	// HeadLimit, if set, returns the size of the largest head that is accepted, in bytes. It must be set before the first Accept.
	HeadLimit func() int64
	// ReceiveBuffer is the bound on the kernel's receive buffer of a connection, in bytes, which it gets from the inner listener.
	// BodyBuffer replaces it while a body of more than ReceiveBuffer is read. Zero leaves it as it is. Both must be set before the
	// first Accept.
	ReceiveBuffer, BodyBuffer int
}

// NewListener returns a listener that accepts the connections of another one within the limit of a group.
func NewListener(inner net.Listener, group *connlimit.Group) *Listener {
	return &Listener{Listener: inner, group: group}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.WithStack(err)
		}
		c := &Conn{Conn: inner, listener: l}
		c.entry = l.group.Open(func() { _ = inner.Close() }, time.Now())
		if c.entry != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

type connKey struct{}

// Attach makes an HTTP server tell its connections, which have to be those of a Listener, what it does with their requests.
// It sets the server's hooks and must be called before the server serves.
func Attach(server *http.Server) {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			c.(*Conn).endRequest()
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Context().Value(connKey{}).(*Conn).beginBody(r)
		next.ServeHTTP(w, r)
	})
}
