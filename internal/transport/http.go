package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Pool bounds the idle connections that a transport keeps.
type Pool struct {
	// MaxIdlePerHost is the maximum number of idle connections to one host. The
	// default is 32.
	MaxIdlePerHost int
	// IdleLifetime is how long an idle connection is kept. It is short, because
	// an unused connection can break without being detected. The default is 10s.
	IdleLifetime time.Duration
}

// The defaults of Pool, and the bound on the memory that the response headers of an
// upstream may take.
const (
	DefaultMaxIdlePerHost  = 32
	DefaultIdleLifetime    = 10 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// The least and the greatest status of a response (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// IsStatus reports whether a number is a valid status of a response. net/http parses any three digits, and panics as it writes
// some of them.
func IsStatus(status int) bool { return minStatus <= status && status <= maxStatus }

// TLS returns the configuration for one new connection. It is called for each
// connection, so that renewed certificates and authorities take effect without a
// restart. If the function is nil, the system's certificate authorities are used.
type TLS func() *tls.Config

// New returns an HTTP/1.1 transport. Each exchange has a connection of its own, so
// that a connection that becomes unresponsive or answers another request affects
// only that exchange. The transport never adds an Accept-Encoding header: answers
// are passed on unchanged.
func New(l Limits, p Pool, secure TLS) *http.Transport {
	if p.MaxIdlePerHost == 0 {
		p.MaxIdlePerHost = DefaultMaxIdlePerHost
	}
	if p.IdleLifetime == 0 {
		p.IdleLifetime = DefaultIdleLifetime
	}
	l = l.withDefaults()
	t := &http.Transport{
		DialContext:            watchedDial(l),
		TLSHandshakeTimeout:    l.Connect,
		MaxIdleConnsPerHost:    p.MaxIdlePerHost,
		IdleConnTimeout:        p.IdleLifetime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	if secure != nil {
		t.DialTLSContext = dialTLS(l, secure)
	}
	return t
}

// dialTLS returns a function that opens a connection and performs the TLS
// handshake. The server's certificate must be valid for the IP address that was
// dialled.
func dialTLS(l Limits, secure TLS) dialFunc {
	dial := watchedDial(l)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := secure().Clone()
		config.ServerName = host
		conn := tls.Client(plain, config)
		ctx, cancel := context.WithTimeout(ctx, l.Connect)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, errors.WithStack(err)
		}
		return conn, nil
	}
}

// NewSingleUse returns a transport that opens a connection for every request
// and closes it afterwards. net/http automatically resends a request when a reused
// connection breaks, but not on a connection that was never used before.
// Therefore, calls that must not be executed twice use this transport.
func NewSingleUse(l Limits, secure TLS) *http.Transport {
	t := New(l, Pool{}, secure)
	t.DisableKeepAlives = true
	return t
}
