package transport

import (
	"net/http"
	"sync"
)

// PerHostTransport is an http.RoundTripper with a separate transport for each host, so that
// the idle connections to one host can be closed without affecting the others. It
// is safe for concurrent use.
type PerHostTransport struct {
	limits Limits
	pool   Pool
	tls    TLS

	mu    sync.Mutex
	hosts map[string]*http.Transport
}

// NewPerHostTransport returns a PerHostTransport without transports. They are created on first use.
func NewPerHostTransport(l Limits, p Pool, tlsConfig TLS) *PerHostTransport {
	return &PerHostTransport{limits: l, pool: p, tls: tlsConfig, hosts: make(map[string]*http.Transport)}
}

// RoundTrip implements http.RoundTripper.
func (h *PerHostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return h.transportFor(r.URL.Host).RoundTrip(r)
}

func (h *PerHostTransport) transportFor(name string) *http.Transport {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.hosts[name]
	if t == nil {
		t = New(h.limits, h.pool, h.tls)
		h.hosts[name] = t
	}
	return t
}

// CloseIdle closes the idle connections to a host. If one connection to it has
// become unresponsive, others over the same network path may have too, and a
// request on one of them would wait for its whole idle timeout.
func (h *PerHostTransport) CloseIdle(name string) {
	h.mu.Lock()
	t := h.hosts[name]
	h.mu.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// RetainOnly removes the transports of the hosts that are not in names, and closes
// their idle connections.
func (h *PerHostTransport) RetainOnly(names map[string]bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, t := range h.hosts {
		if !names[name] {
			t.CloseIdleConnections()
			delete(h.hosts, name)
		}
	}
}

// Close removes all transports and closes their idle connections.
func (h *PerHostTransport) Close() {
	h.RetainOnly(nil)
}
