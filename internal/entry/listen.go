package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/process"
	"github.com/chestnutarch/chestnutarch/internal/settings"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
	"github.com/chestnutarch/chestnutarch/internal/transport"
)

// readHeaderTimeout bounds how long a caller may take for its headers, so that
// slow callers can't hold connections without ever asking anything.
const readHeaderTimeout = 10 * time.Second

// idleTimeout closes callers' connections that carry no request.
const idleTimeout = 60 * time.Second

// listeners are the open sockets of the process.
type listeners struct {
	callers, operators, peers, metrics net.Listener
}

// openListeners opens every socket. TLS is put on all but the peers', where
// gRPC does it by itself.
func openListeners(ctx context.Context, s *settings.Entry, sec *process.Security) (*listeners, error) {
	l := &listeners{}
	wanted := []struct {
		address string
		into    *net.Listener
		tls     *tls.Config
	}{
		{s.Listen.Callers, &l.callers, process.ServerTLS(sec.Callers)},
		{s.Listen.Operators, &l.operators, process.ServerTLS(sec.Operators)},
		{s.Listen.Peers, &l.peers, nil},
		{s.Listen.Metrics, &l.metrics, nil},
	}
	config := transport.NewListenConfig(transport.Limits{})
	for _, w := range wanted {
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
		*w.into = opened
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

// server is one HTTP server on an open listener.
type server struct {
	name string
	http *http.Server
	on   net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.on)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, s.name)
}

// servers returns the HTTP servers, in the order in which they are to be shut
// down: callers first, so that operators can watch until the end.
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
	return &server{name: name, on: on, http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    p.settings.Limits.MaxHeaderBytes,
	}}
}
