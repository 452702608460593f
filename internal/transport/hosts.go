package transport

import (
	"net/http"
	"sync"
)

// Hosts keeps a transport for each peer, so that the idle connections to one peer
// can be closed without those to the others. It is safe for concurrent use.
type Hosts struct {
	limits Limits
	pool   Pool
	tls    TLS

	mu    sync.Mutex
	hosts map[string]*http.Transport
}

// NewHosts returns an empty set of transports.
func NewHosts(l Limits, p Pool, tlsConfig TLS) *Hosts {
	return &Hosts{limits: l, pool: p, tls: tlsConfig, hosts: make(map[string]*http.Transport)}
}

// RoundTrip implements http.RoundTripper.
func (h *Hosts) RoundTrip(r *http.Request) (*http.Response, error) {
	return h.host(r.URL.Host).RoundTrip(r)
}

func (h *Hosts) host(name string) *http.Transport {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.hosts[name]
	if t == nil {
		t = New(h.limits, h.pool, h.tls)
		h.hosts[name] = t
	}
	return t
}

// CloseIdle closes the idle connections to a peer. Where one connection has gone
// silent, others that took the same way may have too; a request that was given one
// of them would wait for its whole idle limit.
func (h *Hosts) CloseIdle(name string) {
	h.mu.Lock()
	t := h.hosts[name]
	h.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// Keep forgets the peers that are not named, and closes their idle connections.
func (h *Hosts) Keep(names map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, t := range h.hosts {
		if !names[name] {
			t.CloseIdleConnections()
			delete(h.hosts, name)
		}
	}
}

// Close closes all idle connections.
func (h *Hosts) Close() {
	h.Keep(nil)
}
