package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/connlimit"
	"github.com/chestnutarch/chestnutarch/internal/inbound"
	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// readHeaderTimeout bounds the time for receiving a request's headers, so that slow
// clients cannot hold connections without ever sending a request.
const readHeaderTimeout = 10 * time.Second

// idleTimeout is the time after which a connection without requests is closed.
const idleTimeout = 60 * time.Second

// listeners holds the open listeners of the process. metrics is nil without a metrics
// address.
type listeners struct {
	callers, operators, peers, metrics net.Listener
}

// openListeners opens all listeners that have an address. TLS is added where it is
// configured, except for peers, where gRPC handles it.
func openListeners(ctx context.Context, s *settings.Entry, sec *process.Security) (*listeners, error) {
	l := &listeners{}
	groups := inbound.NewGroups(s.Limits.Connections.Max, s.Limits.Connections.HeadMemory)
	sockets := []struct {
		address string
		target  *net.Listener
		tls     *tls.Config
		group   *connlimit.Group
	}{
		{s.Listen.Callers, &l.callers, process.ServerTLS(sec.Callers), groups.Main},
		{s.Listen.Operators, &l.operators, process.ServerTLS(sec.Operators), groups.Other()},
		{s.Listen.Peers, &l.peers, nil, groups.Other()},
		{s.Listen.Metrics, &l.metrics, nil, groups.Other()},
	}
	config := transport.NewListenConfig(transport.Limits{})
	for _, w := range sockets {
		if w.address == "" {
			continue
		}
		opened, err := config.Listen(ctx, "tcp", w.address)
		if err != nil {
			l.close()
			return nil, errors.Wrap(ErrListen, err.Error())
		}
		if w.tls != nil {
			opened = tls.NewListener(opened, w.tls)
		}
		if w.target == &l.peers {
			*w.target = inbound.NewGRPCListener(opened, w.group, sec.PeerReloader != nil)
			continue
		}
		bounded := inbound.NewListener(opened, w.group)
		bounded.UserTimeout = transport.DefaultUserTimeout
		*w.target = bounded
	}
	return l, nil
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.operators, l.peers, l.metrics} {
		if opened != nil {
			opened.Close()
		}
	}
}

// server is an HTTP server with its open listener.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// servers returns the HTTP servers in shutdown order: callers first, so that operators
// can observe the process until the end.
func (p *Process) servers() []*server {
	all := []*server{
		p.newServer("callers", p.handler, p.listeners.callers),
		p.newServer("operators", p.operators(), p.listeners.operators),
	}
	if p.listeners.metrics != nil {
		all = append(all, p.newServer("metrics", telemetry.MetricsHandler(p.metrics), p.listeners.metrics))
	}
	return all
}

func (p *Process) newServer(name string, handler http.Handler, on net.Listener) *server {
	s := &server{name: name, listener: on, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    p.settings.Limits.MaxHeaderBytes,
	}}
	inbound.Attach(s.http)
	return s
}
