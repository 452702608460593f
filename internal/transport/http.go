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
	// MaxIdlePerHost is the number of idle connections kept for one peer. The
	// default is 32.
	MaxIdlePerHost int
	// IdleLifetime is how long an idle connection is kept. It is short, because
	// a connection that nobody uses can die unnoticed. The default is 10s.
	IdleLifetime time.Duration
}

// The defaults of Pool, and the bounds on what an upstream may make us hold.
const (
	DefaultMaxIdlePerHost  = 32
	DefaultIdleLifetime    = 10 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// TLS returns the configuration for one new connection. It is asked each time,
// so that renewed certificates and authorities count without a restart. Nil
// takes the machine's authorities.
type TLS func() *tls.Config

// New returns an HTTP/1.1 transport. One exchange owns one connection, so that
// a connection that goes silent or answers another request hurts only that exchange.
// It never adds an Accept-Encoding of its own: answers pass as they are.
func New(l Limits, p Pool, secure TLS) *http.Transport {
	if p.MaxIdlePerHost == 0 {
		p.MaxIdlePerHost = DefaultMaxIdlePerHost
	}
	if p.IdleLifetime == 0 {
		p.IdleLifetime = DefaultIdleLifetime
	}
	l = l.withDefaults()
	t := &http.Transport{
		DialContext:            NewDialer(l).DialContext,
		TLSHandshakeTimeout:    l.Connect,
		MaxIdleConnsPerHost:    p.MaxIdlePerHost,
		IdleConnTimeout:        p.IdleLifetime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
	if secure != nil {
		t.DialTLSContext = dialTLS(NewDialer(l), secure)
	}
	return t
}

// dialTLS opens a connection and proves both ends of it. The certificate has to
// name the IP address that was dialled.
func dialTLS(dialer *net.Dialer, secure TLS) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		plain, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		config := secure().Clone()
		config.ServerName = host
		conn := tls.Client(plain, config)
		ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, errors.WithStack(err)
		}
		return conn, nil
	}
}

// NewSingleUse returns a transport that opens a connection for every request
// and closes it afterwards. net/http resends a request by itself when a reused
// connection breaks; on a connection that was never used before it does not, so
// a call that must not run twice goes through here.
func NewSingleUse(l Limits, secure TLS) *http.Transport {
	t := New(l, Pool{}, secure)
	t.DisableKeepAlives = true
	return t
}
