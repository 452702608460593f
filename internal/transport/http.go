package transport

import (
	"crypto/tls"
	"net/http"
	"time"
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

// New returns an HTTP/1.1 transport. One exchange owns one connection, so that
// a connection that goes silent or answers crossed hurts only that exchange.
// It never adds an Accept-Encoding of its own: answers pass as they are.
func New(l Limits, p Pool, tlsConfig *tls.Config) *http.Transport {
	if p.MaxIdlePerHost == 0 {
		p.MaxIdlePerHost = DefaultMaxIdlePerHost
	}
	if p.IdleLifetime == 0 {
		p.IdleLifetime = DefaultIdleLifetime
	}
	l = l.withDefaults()
	return &http.Transport{
		DialContext:            NewDialer(l).DialContext,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    l.Connect,
		MaxIdleConnsPerHost:    p.MaxIdlePerHost,
		IdleConnTimeout:        p.IdleLifetime,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableCompression:     true,
	}
}

// NewSingleUse returns a transport that opens a connection for every request
// and closes it afterwards. net/http resends a request by itself when a reused
// connection breaks; on a connection that was never used before it does not, so
// a call that must not run twice goes through here.
func NewSingleUse(l Limits, tlsConfig *tls.Config) *http.Transport {
	t := New(l, Pool{}, tlsConfig)
	t.DisableKeepAlives = true
	return t
}
